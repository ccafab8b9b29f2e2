import type { ReadTimes } from "@pomeloturn/follow-table/chooseReadTimes";

const LONGEST_WAIT_MS = 1_000;
const LONGEST_MARGIN_MS = 500;
const WAIT_SHARE = 0.2;
const MARGIN_SHARE = 0.1;

/**
 * Chooses the time limits of calls to a relay. A connection that loses only requests is detected by the call after the one
 * that it still answers: two waits and the margin take half of `limitMs`, so that the store can be read in the other half.
 */
export const chooseRelayTimes = (limitMs: number): ReadTimes => ({
    waitMs: Math.floor(Math.min(LONGEST_WAIT_MS, WAIT_SHARE * limitMs)),
    marginMs: Math.floor(Math.min(LONGEST_MARGIN_MS, MARGIN_SHARE * limitMs)),
});
