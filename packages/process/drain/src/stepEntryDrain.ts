/** Time after which the load balancer has taken this VM out of rotation. */
const OUT_OF_ROTATION_MS = 2_300;
/** Share of the grace period for which a transaction may continue, from the start of the shutdown or from its own start. */
const TRANSACTION_SHARE = 0.5;
/** Time before the end of the grace period at which the process exits. */
const EXIT_MARGIN_MS = 600;
/** Time over which idle sessions are closed, so that they do not all reconnect to other VMs at the same time. */
const IDLE_CLOSE_SPREAD_MS = 500;

/** Time for the caller that was accepted last to send its first statement. */
const FIRST_STATEMENT_WAIT_MS = 100;

/** State of an entry's shutdown, on which no other process depends. Times are monotonic milliseconds. */
export interface EntryDrainState {
    readonly startedAtMs: number;
    /** Grace period, after which the process has to have exited. */
    readonly graceMs: number;
    /** Number of idle sessions when their closing began; undefined before. */
    initialIdleCount: number | undefined;
    /** Number of idle sessions that have been closed. */
    closedIdleCount: number;
    /** Time from which no new callers are accepted; undefined before. */
    stoppedAcceptingAtMs: number | undefined;
}

/** Remaining work of an entry. */
export interface EntryWork {
    /** Sessions with neither a running statement nor an open transaction. */
    readonly idleSessions: number;
    readonly openTransactions: number;
    readonly runningStatements: number;
}

/** Actions of one step of an entry's shutdown. */
export interface EntryDrainDecision {
    /** Number of idle sessions to close now. */
    readonly idleCloseCount: number;
    /** Open transactions that began at this time or before it are to be rolled back. Monotonic milliseconds; undefined if none is. */
    readonly endTransactionsBegunByMs: number | undefined;
    /** Whether to stop accepting callers. */
    readonly stopAccepting: boolean;
    readonly exit: boolean;
}

export const createEntryDrain = (graceMs: number, nowMs: number): EntryDrainState => ({
    startedAtMs: nowMs,
    graceMs,
    initialIdleCount: undefined,
    closedIdleCount: 0,
    stoppedAcceptingAtMs: undefined,
});

/** Decides one step of a shutdown. Callers are accepted until the load balancer has taken this VM out of rotation. */
export const stepEntryDrain = (state: EntryDrainState, work: EntryWork, nowMs: number): EntryDrainDecision => {
    const elapsedMs = nowMs - state.startedAtMs;
    const transactionLimitMs = state.graceMs * TRANSACTION_SHARE;
    const isOutOfRotation = elapsedMs >= OUT_OF_ROTATION_MS;
    const isGraceOver = elapsedMs >= state.graceMs - EXIT_MARGIN_MS;
    const isEmpty = work.idleSessions + work.openTransactions + work.runningStatements === 0;
    const isLastCallerWaitOver = state.stoppedAcceptingAtMs !== undefined && nowMs - state.stoppedAcceptingAtMs >= FIRST_STATEMENT_WAIT_MS;
    const stopAccepting = state.stoppedAcceptingAtMs === undefined && (isGraceOver || (isOutOfRotation && isEmpty));
    if (stopAccepting) {
        state.stoppedAcceptingAtMs = nowMs;
    }
    return {
        idleCloseCount: isOutOfRotation ? countIdleToClose(state, work.idleSessions, elapsedMs) : 0,
        endTransactionsBegunByMs: elapsedMs >= transactionLimitMs && work.openTransactions > 0 ? nowMs - transactionLimitMs : undefined,
        stopAccepting,
        // The caller that was accepted last may have sent a statement that has not been read yet.
        exit: isGraceOver || (isLastCallerWaitOver && isEmpty),
    };
};

const countIdleToClose = (state: EntryDrainState, idleSessions: number, elapsedMs: number): number => {
    state.initialIdleCount ??= idleSessions;
    const share = Math.min(1, (elapsedMs - OUT_OF_ROTATION_MS) / IDLE_CLOSE_SPREAD_MS);
    const due = share >= 1 ? idleSessions : Math.ceil(state.initialIdleCount * share) - state.closedIdleCount;
    const count = Math.max(0, Math.min(idleSessions, due));
    state.closedIdleCount += count;
    return count;
};
