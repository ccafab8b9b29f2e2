import { CLOSE_SPREAD_MS, type EntryDrainState, exitAtMs, outOfRotationMs, transactionLimitMs } from "./EntryDrainState.ts";

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
    const elapsedMs = nowMs - state.startedAtMs;
    const limitMs = transactionLimitMs(state);
    if (transactionBeganAtMs === undefined) {
        const refusedFromMs = Math.min(limitMs, outOfRotationMs(state) + share * CLOSE_SPREAD_MS);
        return elapsedMs < refusedFromMs ? StatementDecision.Run : StatementDecision.Refuse;
    }
    const isFirstHalf = elapsedMs < limitMs;
    const mayContinue = nowMs - transactionBeganAtMs < limitMs && nowMs + timeoutMs <= exitAtMs(state);
    return isFirstHalf || mayContinue ? StatementDecision.Run : StatementDecision.RollBack;
};
