import { describe, expect, it } from "vitest";
import { decideStatement, StatementDecision } from "./decideStatement.ts";
import { createEntryDrain } from "./EntryDrainState.ts";
import { mayCloseSession } from "./mayCloseSession.ts";
import { stepEntryDrain } from "./stepEntryDrain.ts";

const GRACE_MS = 6_000;

describe("decideStatement", () => {
    const TIMEOUT_MS = 800;
    const EXIT_MS = 5_400;
    /** Times at which a statement is run, of all times of the grace period. */
    const findLastRun = (transactionBeganAtMs: number | undefined, timeoutMs: number, share: number, graceMs = GRACE_MS): number => {
        const state = createEntryDrain(graceMs, 0);
        const decide = (nowMs: number): StatementDecision => decideStatement(state, { transactionBeganAtMs, timeoutMs, share }, nowMs);
        const times = Array.from({ length: graceMs / 10 }, (_each, index) => index * 10);
        const last = times.findLast(nowMs => decide(nowMs) === StatementDecision.Run) ?? -Infinity;
        const refusal = transactionBeganAtMs === undefined ? StatementDecision.Refuse : StatementDecision.RollBack;
        expect(times.every(nowMs => decide(nowMs) === (nowMs <= last ? StatementDecision.Run : refusal))).toBe(true);
        return last;
    };

    it.each([0, 0.5, 1])("runs no statement outside a transaction that the exit could cut (share %d)", share => {
        expect(findLastRun(undefined, TIMEOUT_MS, share)).toBeLessThan(GRACE_MS / 2);
        expect(findLastRun(undefined, TIMEOUT_MS, share)).toBeGreaterThan(2_000);
    });

    it("refuses the sessions that never pause not all at the same time", () => {
        expect(findLastRun(undefined, TIMEOUT_MS, 1) - findLastRun(undefined, TIMEOUT_MS, 0)).toBeGreaterThanOrEqual(400);
    });

    it.each([[-10_000, 800], [0, 4_000], [1_000, 4_000]])(
        "ends no transaction in the first half of the grace period (begun at %d ms, time limit %d ms)",
        (begunAtMs, timeoutMs) => {
            expect(findLastRun(begunAtMs, timeoutMs, 0)).toBeGreaterThanOrEqual(GRACE_MS / 2 - 10);
        },
    );

    it.each([[1_000, 800], [2_000, 800], [2_900, 1_500]])(
        "runs no statement of a transaction that the exit could cut (begun at %d ms, time limit %d ms)",
        (begunAtMs, timeoutMs) => {
            const last = findLastRun(begunAtMs, timeoutMs, 0);
            expect(last + timeoutMs).toBeLessThanOrEqual(EXIT_MS);
            expect(last).toBe(Math.min(begunAtMs + GRACE_MS / 2 - 10, EXIT_MS - timeoutMs));
        },
    );

    it.each([500, 2_000, 20_000])("leaves no time for refusals and answers in a grace period of %d ms", graceMs => {
        const state = createEntryDrain(graceMs, 0);
        const running = { idleSessions: 0, openTransactions: 0, runningStatements: 1 };
        let exitMs = 0;
        while (!stepEntryDrain(state, running, exitMs).exit) {
            exitMs += 10;
        }
        expect(exitMs).toBeLessThan(graceMs);
        expect(findLastRun(undefined, TIMEOUT_MS, 1, graceMs)).toBeLessThanOrEqual(exitMs);
    });
});

it.each([[false, 30], [false, 99], [true, 100], [true, 299]])(
    "closes a session whose next statement is on its way (in a transaction: %s, quiet for %d ms)",
    (isInTransaction, quietMs) => {
        expect(mayCloseSession(isInTransaction, quietMs)).toBe(false);
        expect(mayCloseSession(isInTransaction, 1_000)).toBe(true);
    },
);
