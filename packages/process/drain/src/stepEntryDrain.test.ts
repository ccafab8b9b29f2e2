import { describe, expect, it } from "vitest";
import { createEntryDrain } from "./EntryDrainState.ts";
import { type EntryDrainDecision, stepEntryDrain } from "./stepEntryDrain.ts";

const GRACE_MS = 6_000;
const STEP_MS = 50;
const NOTHING = { idleSessions: 0, openTransactions: 0, runningStatements: 0 };

/** Runs a shutdown with the work that `workAt` returns for each step until it exits. */
const runUntilExit = (
    workAt: (atMs: number, closed: number) => typeof NOTHING,
): { readonly exitMs: number; readonly decisions: EntryDrainDecision[]; } => {
    const state = createEntryDrain(GRACE_MS, 0);
    const decisions: EntryDrainDecision[] = [];
    let closed = 0;
    for (let atMs = 0; atMs <= GRACE_MS; atMs += STEP_MS) {
        const decision = stepEntryDrain(state, workAt(atMs, closed), atMs);
        decisions.push(decision);
        closed += decision.idleCloseCount;
        if (decision.exit) {
            return { exitMs: atMs, decisions };
        }
    }
    return { exitMs: Infinity, decisions };
};

/** Time at which a transaction that began at `begunAtMs` is ended, at the latest by the exit. */
const findTransactionEnd = (decisions: readonly EntryDrainDecision[], begunAtMs: number): number =>
    decisions.findIndex(({ endTransactionsBegunByMs = -Infinity, exit }) => begunAtMs <= endTransactionsBegunByMs || exit) * STEP_MS;

describe("stepEntryDrain", () => {
    it("accepts callers until the load balancer has taken the VM out of rotation, then exits when no work is left", () => {
        const { exitMs, decisions } = runUntilExit(() => NOTHING);
        expect(exitMs).toBeGreaterThan(2_000);
        expect(exitMs).toBeLessThan(3_000);
        expect(decisions.slice(0, 2_000 / STEP_MS).some(({ stopAccepting }) => stopAccepting)).toBe(false);
    });

    it("waits for the caller that was accepted last", () => {
        const accepted = runUntilExit(() => NOTHING).decisions.findIndex(({ stopAccepting }) => stopAccepting) * STEP_MS;
        const running = { ...NOTHING, runningStatements: 1 };
        const { exitMs } = runUntilExit(atMs => atMs > accepted && atMs < accepted + 700 ? running : NOTHING);
        expect(exitMs).toBeGreaterThanOrEqual(accepted + 700);
    });

    it("spreads the closing of idle sessions over several steps", () => {
        const { decisions } = runUntilExit((_atMs, closed) => ({ ...NOTHING, idleSessions: 30 - closed }));
        const closings = decisions.map(({ idleCloseCount }) => idleCloseCount).filter(count => count > 0);
        expect(closings.reduce((sum, count) => sum + count, 0)).toBe(30);
        expect(Math.max(...closings)).toBeLessThanOrEqual(6);
    });

    it("lets open transactions run for half of the grace period, and exits before its end", () => {
        const { exitMs, decisions } = runUntilExit(() => ({ ...NOTHING, openTransactions: 1 }));
        expect(findTransactionEnd(decisions, 0)).toBe(GRACE_MS / 2);
        expect(findTransactionEnd(decisions, -GRACE_MS)).toBe(GRACE_MS / 2);
        expect(exitMs).toBeLessThan(GRACE_MS);
    });

    it("does not cut a transaction that began during the shutdown before it has had half of the grace period", () => {
        const { exitMs, decisions } = runUntilExit(() => ({ ...NOTHING, openTransactions: 1 }));
        expect(findTransactionEnd(decisions, 2_000)).toBe(2_000 + GRACE_MS / 2);
        expect(findTransactionEnd(decisions, 2_900)).toBe(exitMs);
    });
});
