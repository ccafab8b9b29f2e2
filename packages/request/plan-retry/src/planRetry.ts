import { Effect, ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import { reserveRetry, type RetryBudget } from "./retryBudget.ts";

/** What is known of an attempt that failed. */
export interface FailedAttempt {
    readonly code: ResultCode;
    readonly attempt: number;
    readonly isRead: boolean;
    /** Whether the write is recorded under a request id. */
    readonly isIdempotent: boolean;
    readonly isInTransaction: boolean;
    /** Whether a part of an answer has been relayed to the caller. */
    readonly isAnswerRelayed: boolean;
    readonly deadlineAtMs: number;
}

/** Constants for `RetryDecision.kind`. */
export const RetryDecisionKind = {
    Retry: "retry",
    GiveUp: "giveUp",
} as const;

export type RetryDecision =
    | { readonly kind: typeof RetryDecisionKind.Retry; readonly delayMs: number; }
    | { readonly kind: typeof RetryDecisionKind.GiveUp; readonly code: ResultCode; };

/** Attempts of a request that may have run; one that did not run is tried until its deadline. */
const MAXIMUM_RUN_ATTEMPTS = 4;
const FIRST_BACKOFF_MS = 10;
const MAXIMUM_BACKOFF_MS = 200;

/** Results that another attempt cannot change. */
const FINAL_CODES: ReadonlySet<ResultCode> = new Set<ResultCode>([
    ResultCode.QueueFull,
    ResultCode.DeadlineBeforeRun,
    ResultCode.DeadlineWhileRunning,
    ResultCode.LinkBudgetExhausted,
    ResultCode.Canceled,
    ResultCode.CanceledBeforeRun,
    ResultCode.TransactionLost,
    ResultCode.WriteLost,
    ResultCode.AlreadyRan,
    ResultCode.RequestIdReused,
    ResultCode.SchemaMissing,
    ResultCode.UnsupportedStatement,
]);

/** Results after which another instance is asked at once; there are few instances, so this cannot go on. */
const ELSEWHERE_CODES: ReadonlySet<ResultCode> = new Set<ResultCode>([ResultCode.ReplicaBehind, ResultCode.FreshnessLapsed]);

/**
 * Decides whether and when a failed attempt is tried again: what did not run may run anywhere, what may have
 * run is repeated only when it is a read or is recorded under a request id.
 *
 * @param nowMs monotonic time in milliseconds
 * @param random 0 to 1
 */
export const planRetry = (failed: FailedAttempt, budget: RetryBudget, nowMs: number, random: number): RetryDecision => {
    if (!isRepeatable(failed)) {
        return { kind: RetryDecisionKind.GiveUp, code: failed.code };
    }
    if (ELSEWHERE_CODES.has(failed.code)) {
        return { kind: RetryDecisionKind.Retry, delayMs: 0 };
    }
    const leftMs = failed.deadlineAtMs - nowMs;
    const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failed.attempt - 1)) * (1 + random) / 2;
    if (backoffMs >= leftMs) {
        return { kind: RetryDecisionKind.GiveUp, code: failed.code };
    }
    const waitMs = reserveRetry(budget, nowMs, leftMs);
    if (waitMs === undefined) {
        return { kind: RetryDecisionKind.GiveUp, code: isNotRun(failed) ? ResultCode.RetryBudgetExhausted : failed.code };
    }
    return { kind: RetryDecisionKind.Retry, delayMs: Math.max(backoffMs, waitMs) };
};

const isNotRun = (failed: FailedAttempt): boolean => resultTable.get(failed.code)?.effect === Effect.NotRun;

const isRepeatable = (failed: FailedAttempt): boolean => {
    if (failed.isInTransaction || failed.isAnswerRelayed || FINAL_CODES.has(failed.code)) {
        return false;
    }
    if (isNotRun(failed)) {
        return true;
    }
    return (failed.isRead || failed.isIdempotent) && failed.attempt < MAXIMUM_RUN_ATTEMPTS;
};
