const BASE_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 5_000;
/** Part of a backoff that is drawn at random, so that holders do not return in step. */
const JITTER_SHARE = 0.5;

/** @param random 0 to 1; @returns time to wait after the given number of failures in a row, in milliseconds */
export const backoffMs = (failureCount: number, random: number): number => {
    const fullMs = Math.min(MAXIMUM_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (failureCount - 1));
    return fullMs * (1 - JITTER_SHARE * random);
};
