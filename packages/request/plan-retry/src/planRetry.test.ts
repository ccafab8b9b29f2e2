import { Effect, ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type FailedAttempt, planRetry, RetryDecisionKind } from "./planRetry.ts";
import { createRetryBudget, depositRequest, reserveRetry } from "./retryBudget.ts";

const SEED = 4_203;
const NOW_MS = 1_000;

/** Kinds of requests, one for each column of docs/design/outcomes.md. */
const kinds = {
    read: { isRead: true, isIdempotent: false, isInTransaction: false },
    recorded: { isRead: false, isIdempotent: true, isInTransaction: false },
    write: { isRead: false, isIdempotent: false, isInTransaction: false },
    transaction: { isRead: false, isIdempotent: true, isInTransaction: true },
} as const;

const failed = (code: ResultCode, changes: Partial<FailedAttempt>): FailedAttempt => ({
    code,
    attempt: 1,
    isRead: false,
    isIdempotent: false,
    isInTransaction: false,
    isAnswerRelayed: false,
    deadlineAtMs: NOW_MS + 5_000,
    ...changes,
});

const isRetried = (code: ResultCode, changes: Partial<FailedAttempt>): boolean =>
    planRetry(failed(code, changes), createRetryBudget(NOW_MS), NOW_MS, 0.5).kind === RetryDecisionKind.Retry;

describe("planRetry", () => {
    it.each<[string, ResultCode, (keyof typeof kinds)[]]>([
        ["before send: the holder moved", ResultCode.NotHolder, ["read", "recorded", "write"]],
        ["before send: the holder cannot be reached", ResultCode.PeerUnreachable, ["read", "recorded", "write"]],
        ["before send: the lease lapsed", ResultCode.LeaseLapsedBeforeSend, ["read", "recorded", "write"]],
        ["before send: the primary was replaced", ResultCode.TermChanged, ["read", "recorded", "write"]],
        ["before send: the backend server refuses the connection", ResultCode.BackendUnreachable, ["read", "recorded", "write"]],
        ["the replica is behind", ResultCode.ReplicaBehind, ["read", "recorded", "write"]],
        ["sent, backend server lost", ResultCode.BackendLost, ["read", "recorded"]],
        ["sent, holder lost", ResultCode.PeerLost, ["read", "recorded"]],
        ["answered, lease lapsed", ResultCode.LeaseLapsed, ["read", "recorded"]],
        ["sent, record of the write lost", ResultCode.OutcomeUnknown, ["read", "recorded"]],
        ["refused: queue full", ResultCode.QueueFull, []],
        ["refused: deadline cannot be met", ResultCode.DeadlineBeforeRun, []],
        ["deadline while running", ResultCode.DeadlineWhileRunning, []],
        ["canceled", ResultCode.Canceled, []],
        ["write lost", ResultCode.WriteLost, []],
        ["already ran", ResultCode.AlreadyRan, []],
        ["request id reused", ResultCode.RequestIdReused, []],
    ])("%s", (_name, code, retried) => {
        const actual = Object.entries(kinds).filter(([, kind]) => isRetried(code, kind)).map(([name]) => name);
        expect(actual).toEqual(retried);
    });

    it("never retries an unrecorded write that may have run, nor a request that was partly answered", () => {
        fc.assert(
            fc.property(fc.constantFrom(...resultTable.keys()), fc.boolean(), fc.boolean(), fc.integer({ min: 1, max: 9 }), (
                code,
                isInTransaction,
                isAnswerRelayed,
                attempt,
            ) => {
                const mayHaveRun = resultTable.get(code)!.effect !== Effect.NotRun;
                expect(isRetried(code, { isInTransaction, isAnswerRelayed, attempt }) && (mayHaveRun || isInTransaction || isAnswerRelayed))
                    .toBe(false);
            }),
            { seed: SEED },
        );
    });

    it("doubles the backoff after each attempt, varies it by the random number, and gives up at the deadline", () => {
        const delayMs = (attempt: number, random: number): number => {
            const decision = planRetry(failed(ResultCode.NotHolder, { attempt }), createRetryBudget(NOW_MS), NOW_MS, random);
            return decision.kind === RetryDecisionKind.Retry ? decision.delayMs : NaN;
        };
        expect([1, 2, 3, 9].map(attempt => delayMs(attempt, 1))).toEqual([10, 20, 40, 200]);
        expect([1, 2, 3, 9].map(attempt => delayMs(attempt, 0))).toEqual([5, 10, 20, 100]);
        const late = failed(ResultCode.NotHolder, { deadlineAtMs: NOW_MS + 1 });
        expect(planRetry(late, createRetryBudget(NOW_MS), NOW_MS, 0)).toEqual({ kind: "giveUp", code: ResultCode.NotHolder });
    });
});

describe("retry budget", () => {
    it("limits the retries during a retry storm to a share of the requests plus a fixed rate", () => {
        const budget = createRetryBudget(0);
        const durationMs = 10_000;
        let retryCount = 0;
        for (let nowMs = 0; nowMs < durationMs; nowMs++) {
            depositRequest(budget);
            for (let index = 0; index < 10; index++) {
                retryCount += reserveRetry(budget, nowMs, 0) === undefined ? 0 : 1;
            }
        }
        expect(retryCount).toBeLessThanOrEqual(100 + durationMs * 0.2 + 50 * 10);
        expect(retryCount).toBeGreaterThan(durationMs * 0.2);
    });

    it("spreads reserved retries over time and refuses those that would exceed the wait limit", () => {
        const budget = createRetryBudget(0);
        const waits = Array.from({ length: 200 }, () => reserveRetry(budget, 0, 1_000));
        expect(waits.filter(wait => wait === 0)).toHaveLength(100);
        expect(waits.filter(wait => wait === undefined)).toHaveLength(50);
        expect(waits[149]).toBe(1_000);
        const decision = planRetry(failed(ResultCode.NotHolder, { deadlineAtMs: 500 }), budget, 0, 0);
        expect(decision).toEqual({ kind: "giveUp", code: ResultCode.RetryBudgetExhausted });
    });
});
