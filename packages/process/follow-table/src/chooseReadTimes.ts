/** Time limits of the calls that follow a table, in milliseconds. */
export interface ReadTimes {
    /** Longest wait of a call for changes. */
    readonly waitMs: number;
    /** Time beyond the wait after which a call is overdue and its connection counts as dead. */
    readonly marginMs: number;
}

/** Time for an answer that is due: the store may be slow, and this process may be busy. */
const LONGEST_MARGIN_MS = 800;
/** Time that remains after a call is overdue, to connect and read again. */
const LONGEST_RESERVE_MS = 700;
/** Largest share of the limit that each of the two may take. */
const MAXIMUM_SHARE = 0.3;
/** The store accepts no longer wait. */
const LONGEST_WAIT_MS = 28_000;

/**
 * Chooses the time limits of calls for changes so that a change is read within `limitMs` although the connection of the
 * call went silent right after the call was sent.
 */
export const chooseReadTimes = (limitMs: number): ReadTimes => {
    const marginMs = Math.min(LONGEST_MARGIN_MS, MAXIMUM_SHARE * limitMs);
    const reserveMs = Math.min(LONGEST_RESERVE_MS, MAXIMUM_SHARE * limitMs);
    return { waitMs: Math.floor(Math.min(LONGEST_WAIT_MS, limitMs - marginMs - reserveMs)), marginMs: Math.floor(marginMs) };
};
