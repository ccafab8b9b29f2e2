import { Effect, ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";

/** What is known of an attempt that failed. */
export interface FailedAttempt {
    readonly code: ResultCode;
    readonly attempt: number;
    readonly isRead: boolean;
    readonly isIdempotent: boolean;
    readonly isInTransaction: boolean;
    /** Whether a part of an answer has been relayed to the caller. */
    readonly isAnswerRelayed: boolean;
    readonly deadlineAtMs: number;
}

const MAXIMUM_ATTEMPTS = 4;

/** Results that another attempt cannot change. */
const FINAL_CODES: ReadonlySet<ResultCode> = new Set<ResultCode>([
    ResultCode.QueueFull,
    ResultCode.DeadlineBeforeRun,
    ResultCode.Canceled,
    ResultCode.CanceledBeforeRun,
    ResultCode.TransactionLost,
    ResultCode.WriteLost,
]);

/**
 * Decides whether a failed attempt is tried again: what did not run may run anywhere, what may have
 * run is repeated only when it is a read or is recorded under a request id.
 *
 * @param nowMs monotonic time in milliseconds
 */
export const planRetry = (failed: FailedAttempt, nowMs: number): boolean => {
    if (failed.isInTransaction || failed.isAnswerRelayed || FINAL_CODES.has(failed.code)) {
        return false;
    }
    if (failed.attempt >= MAXIMUM_ATTEMPTS || nowMs >= failed.deadlineAtMs) {
        return false;
    }
    const isNotRun = resultTable.get(failed.code)?.effect === Effect.NotRun;
    return isNotRun || failed.isRead || failed.isIdempotent;
};
