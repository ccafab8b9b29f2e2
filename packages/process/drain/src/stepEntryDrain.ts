import { CLOSE_SPREAD_MS, type EntryDrainState, exitAtMs, outOfRotationMs, transactionLimitMs } from "./EntryDrainState.ts";

/** Time for the caller that was accepted last to send its first statement. */
const FIRST_STATEMENT_WAIT_MS = 100;

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

/** Decides one step of a shutdown. Callers are accepted until the load balancer has taken this VM out of rotation. */
export const stepEntryDrain = (state: EntryDrainState, work: EntryWork, nowMs: number): EntryDrainDecision => {
    const elapsedMs = nowMs - state.startedAtMs;
    const isOutOfRotation = elapsedMs >= outOfRotationMs(state);
    const isGraceOver = nowMs >= exitAtMs(state);
    const isEmpty = work.idleSessions + work.openTransactions + work.runningStatements === 0;
    const isLastCallerWaitOver = state.stoppedAcceptingAtMs !== undefined && nowMs - state.stoppedAcceptingAtMs >= FIRST_STATEMENT_WAIT_MS;
    const stopAccepting = state.stoppedAcceptingAtMs === undefined && (isGraceOver || (isOutOfRotation && isEmpty));
    if (stopAccepting) {
        state.stoppedAcceptingAtMs = nowMs;
    }
    return {
        idleCloseCount: isOutOfRotation ? countIdleToClose(state, work.idleSessions, elapsedMs) : 0,
        endTransactionsBegunByMs: elapsedMs >= transactionLimitMs(state) && work.openTransactions > 0
            ? nowMs - transactionLimitMs(state)
            : undefined,
        stopAccepting,
        // The caller that was accepted last may have sent a statement that has not been read yet.
        exit: isGraceOver || (isLastCallerWaitOver && isEmpty),
    };
};

const countIdleToClose = (state: EntryDrainState, idleSessions: number, elapsedMs: number): number => {
    state.initialIdleCount ??= idleSessions;
    const share = Math.min(1, (elapsedMs - outOfRotationMs(state)) / CLOSE_SPREAD_MS);
    const due = share >= 1 ? idleSessions : Math.ceil(state.initialIdleCount * share) - state.closedIdleCount;
    const count = Math.max(0, Math.min(idleSessions, due));
    state.closedIdleCount += count;
    return count;
};
