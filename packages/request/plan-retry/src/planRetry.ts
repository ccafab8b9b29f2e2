import { Effect, ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import { reserveRetry, type RetryBudget } from "./retryBudget.ts";

/** A failed attempt of a request. */
export interface FailedAttempt {
    readonly code: ResultCode;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    readonly isRead: boolean;
    /** Whether the write is recorded under a request id, so that a repeated attempt has no further effect. */
    readonly isIdempotent: boolean;
    readonly isInTransaction: boolean;
    /** Whether a part of the answer has already been relayed to the caller. */
    readonly isAnswerRelayed: boolean;
    /** Monotonic time in milliseconds. */
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

/** Largest number of attempts when the request may have run. A request that did not run is retried until its deadline. */
const MAXIMUM_UNCERTAIN_ATTEMPTS = 4;
const FIRST_BACKOFF_MS = 10;
const MAXIMUM_BACKOFF_MS = 200;

/** Results that are not retried, as another attempt would not help. */
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

/** Results after which another instance is tried without delay. The number of instances limits these retries. */
const IMMEDIATE_RETRY_CODES: ReadonlySet<ResultCode> = new Set<ResultCode>([ResultCode.ReplicaBehind, ResultCode.FreshnessLapsed]);

/**
 * Decides whether and when a failed request is retried. A request that did not run may be retried at any instance. One
 * that may have run is retried only if it is a read or is recorded under a request id.
 *
 * @param nowMs monotonic time in milliseconds
 * @param random random number from 0 to 1, which spreads the backoff
 */
export const planRetry = (failed: FailedAttempt, budget: RetryBudget, nowMs: number, random: number): RetryDecision => {
    if (!isRetryable(failed)) {
        return { kind: RetryDecisionKind.GiveUp, code: failed.code };
    }
    if (IMMEDIATE_RETRY_CODES.has(failed.code)) {
        return { kind: RetryDecisionKind.Retry, delayMs: 0 };
    }
    const remainingMs = failed.deadlineAtMs - nowMs;
    const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failed.attempt - 1)) * (1 + random) / 2;
    if (backoffMs >= remainingMs) {
        return { kind: RetryDecisionKind.GiveUp, code: failed.code };
    }
    const waitMs = reserveRetry(budget, nowMs, remainingMs);
    if (waitMs === undefined) {
        return { kind: RetryDecisionKind.GiveUp, code: isNotRun(failed) ? ResultCode.RetryBudgetExhausted : failed.code };
    }
    return { kind: RetryDecisionKind.Retry, delayMs: Math.max(backoffMs, waitMs) };
};

const isNotRun = (failed: FailedAttempt): boolean => resultTable.get(failed.code)?.effect === Effect.NotRun;

const isRetryable = (failed: FailedAttempt): boolean => {
    if (failed.isInTransaction || failed.isAnswerRelayed || FINAL_CODES.has(failed.code)) {
        return false;
    }
    if (isNotRun(failed)) {
        return true;
    }
    return (failed.isRead || failed.isIdempotent) && failed.attempt < MAXIMUM_UNCERTAIN_ATTEMPTS;
};
