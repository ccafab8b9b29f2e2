/** Time after which the load balancer has taken this VM out of rotation. */
const OUT_OF_ROTATION_MS = 2_300;
/** Largest share of the grace period that this may take. */
const OUT_OF_ROTATION_SHARE = 0.4;
/** Share of the grace period for which a transaction may continue, from the start of the shutdown or from its own start. */
const TRANSACTION_SHARE = 0.5;
/** Time before the end of the grace period at which the process exits. */
const EXIT_MARGIN_MS = 600;
/** Share of the grace period for which the process runs at least when there is work. */
const MINIMUM_RUN_SHARE = 0.5;
/** Time over which sessions are closed, so that they do not all reconnect to other VMs at the same time. */
const CLOSE_SPREAD_MS = 500;

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

/** Returns the time from the start of the shutdown until the load balancer has taken this VM out of rotation. */
const outOfRotationMs = ({ graceMs }: EntryDrainState): number => Math.min(OUT_OF_ROTATION_MS, graceMs * OUT_OF_ROTATION_SHARE);

/** Returns the monotonic time at which the process exits at the latest. */
const exitAtMs = ({ startedAtMs, graceMs }: EntryDrainState): number =>
    startedAtMs + Math.max(graceMs * MINIMUM_RUN_SHARE, graceMs - EXIT_MARGIN_MS);

/** Decides one step of a shutdown. Callers are accepted until the load balancer has taken this VM out of rotation. */
export const stepEntryDrain = (state: EntryDrainState, work: EntryWork, nowMs: number): EntryDrainDecision => {
    const elapsedMs = nowMs - state.startedAtMs;
    const transactionLimitMs = state.graceMs * TRANSACTION_SHARE;
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
        endTransactionsBegunByMs: elapsedMs >= transactionLimitMs && work.openTransactions > 0 ? nowMs - transactionLimitMs : undefined,
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

/** Constants for what a shutdown does with a statement. */
export const StatementDecision = {
    Run: "run",
    /** It is not run; the caller is told so and reconnects to another VM. */
    Refuse: "refuse",
    /** Its transaction is rolled back; the caller is told so. */
    RollBack: "rollBack",
} as const;
export type StatementDecision = typeof StatementDecision[keyof typeof StatementDecision];

/** A statement that a caller has sent during a shutdown. */
export interface DrainedStatement {
    /** When its transaction began, in monotonic milliseconds; undefined for a statement outside a transaction. */
    readonly transactionBeganAtMs: number | undefined;
    /** Time limit of the statement. */
    readonly timeoutMs: number;
    /** Number from 0 to 1 that differs between sessions, so that they are not all refused at the same time. */
    readonly share: number;
}

/**
 * Decides whether a statement is still run. A session that sends each statement as soon as the one before is answered is
 * never found idle, so its next statement outside a transaction is refused. Statements of open transactions run while the
 * transaction may continue and their answer is due before the process exits.
 */
export const decideStatement = (state: EntryDrainState, statement: DrainedStatement, nowMs: number): StatementDecision => {
    const { transactionBeganAtMs, timeoutMs, share } = statement;
    const { startedAtMs, graceMs } = state;
    const transactionLimitMs = graceMs * TRANSACTION_SHARE;
    if (transactionBeganAtMs === undefined) {
        const refusedFromMs = Math.min(transactionLimitMs, outOfRotationMs(state) + share * CLOSE_SPREAD_MS);
        return nowMs - startedAtMs < refusedFromMs ? StatementDecision.Run : StatementDecision.Refuse;
    }
    const isFirstHalf = nowMs - startedAtMs < transactionLimitMs;
    const mayContinue = nowMs - transactionBeganAtMs < transactionLimitMs && nowMs + timeoutMs <= exitAtMs(state);
    return isFirstHalf || mayContinue ? StatementDecision.Run : StatementDecision.RollBack;
};
