const BASE_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 5_000;
/** Share of the backoff that is randomized, so that holders do not retry at the same time. */
const JITTER_SHARE = 0.5;

/**
 * Computes the exponential backoff with jitter after consecutive failures.
 *
 * @param failureCount number of consecutive failures, at least 1
 * @param random random number from 0 to 1
 * @returns time to wait in milliseconds
 */
export const computeBackoffMs = (failureCount: number, random: number): number => {
    const fullMs = Math.min(MAXIMUM_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (failureCount - 1));
    return fullMs * (1 - JITTER_SHARE * random);
};
