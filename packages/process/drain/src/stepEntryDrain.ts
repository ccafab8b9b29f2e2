/** Time after which the balancer has noticed that this VM takes no new callers, in milliseconds. */
const OUT_OF_ROTATION_MS = 2_300;
/** Share of the grace for which an open transaction may go on. */
const TRANSACTION_SHARE = 0.5;
/** Time before the end of the grace at which the process is gone. */
const EXIT_MARGIN_MS = 600;
/** Idle sessions are closed over this time, so that they do not all come back at once elsewhere. */
const SPREAD_MS = 500;

/** Time in which a caller that was accepted last sends its first statement. */
const ACCEPTED_MS = 100;

/** A proxy's shutdown where no other process depends on it. Times are monotonic milliseconds. */
export interface EntryDrainState {
    readonly startedAtMs: number;
    readonly graceMs: number;
    /** Idle sessions when the closing began. */
    spreadCount: number | undefined;
    closedCount: number;
    /** Since when no new callers are accepted. */
    closedAtMs: number | undefined;
}

/** What the proxy has to do still. */
export interface EntryWork {
    /** Sessions with neither a statement under way nor an open transaction. */
    readonly idleSessions: number;
    readonly openTransactions: number;
    readonly runningStatements: number;
}

/** What the shell is to do. */
export interface EntryDrainDecision {
    /** How many idle sessions to close now. */
    readonly closeIdle: number;
    /** Whether to roll back the transactions that are still open. */
    readonly endTransactions: boolean;
    /** Whether to accept no more callers. */
    readonly stopAccepting: boolean;
    readonly exit: boolean;
}

export const createEntryDrain = (graceMs: number, nowMs: number): EntryDrainState => ({
    startedAtMs: nowMs,
    graceMs,
    spreadCount: undefined,
    closedCount: 0,
    closedAtMs: undefined,
});

/** Decides one step of a shutdown. New callers are still served: the balancer sends them until it has noticed. */
export const stepEntryDrain = (state: EntryDrainState, work: EntryWork, nowMs: number): EntryDrainDecision => {
    const elapsedMs = nowMs - state.startedAtMs;
    const isOut = elapsedMs >= OUT_OF_ROTATION_MS;
    const isOver = elapsedMs >= state.graceMs - EXIT_MARGIN_MS;
    const isEmpty = work.idleSessions + work.openTransactions + work.runningStatements === 0;
    const wasClosed = state.closedAtMs !== undefined && nowMs - state.closedAtMs >= ACCEPTED_MS;
    const stopAccepting = state.closedAtMs === undefined && (isOver || (isOut && isEmpty));
    if (stopAccepting) {
        state.closedAtMs = nowMs;
    }
    return {
        closeIdle: isOut ? countToClose(state, work.idleSessions, elapsedMs) : 0,
        endTransactions: elapsedMs >= state.graceMs * TRANSACTION_SHARE && work.openTransactions > 0,
        stopAccepting,
        // A caller that was accepted last may have sent a statement that is yet to be read.
        exit: isOver || (wasClosed && isEmpty),
    };
};

const countToClose = (state: EntryDrainState, idleSessions: number, elapsedMs: number): number => {
    state.spreadCount ??= idleSessions;
    const share = Math.min(1, (elapsedMs - OUT_OF_ROTATION_MS) / SPREAD_MS);
    const due = share >= 1 ? idleSessions : Math.ceil(state.spreadCount * share) - state.closedCount;
    const count = Math.max(0, Math.min(idleSessions, due));
    state.closedCount += count;
    return count;
};
