import { describe, expect, it } from "vitest";
import { createEntryDrain, type EntryDrainDecision, stepEntryDrain } from "./stepEntryDrain.ts";

const GRACE_MS = 6_000;
const STEP_MS = 50;
const NOTHING = { idleSessions: 0, openTransactions: 0, runningStatements: 0 };

/** Steps a drain with the work of each moment until it exits. */
const play = (
    workAt: (atMs: number, closed: number) => typeof NOTHING,
): { readonly exitMs: number; readonly decisions: EntryDrainDecision[]; } => {
    const state = createEntryDrain(GRACE_MS, 0);
    const decisions: EntryDrainDecision[] = [];
    let closed = 0;
    for (let atMs = 0; atMs <= GRACE_MS; atMs += STEP_MS) {
        const decision = stepEntryDrain(state, workAt(atMs, closed), atMs);
        decisions.push(decision);
        closed += decision.closeIdle;
        if (decision.exit) {
            return { exitMs: atMs, decisions };
        }
    }
    return { exitMs: Infinity, decisions };
};

describe("an entry's shutdown", () => {
    it("takes callers until the balancer has noticed, then exits when nothing is left", () => {
        const { exitMs, decisions } = play(() => NOTHING);
        expect(exitMs).toBeGreaterThan(2_000);
        expect(exitMs).toBeLessThan(3_000);
        expect(decisions.slice(0, 2_000 / STEP_MS).some(({ stopAccepting }) => stopAccepting)).toBe(false);
    });

    it("waits for a caller that was accepted last", () => {
        const accepted = play(() => NOTHING).decisions.findIndex(({ stopAccepting }) => stopAccepting) * STEP_MS;
        const running = { ...NOTHING, runningStatements: 1 };
        const { exitMs } = play(atMs => atMs > accepted && atMs < accepted + 700 ? running : NOTHING);
        expect(exitMs).toBeGreaterThanOrEqual(accepted + 700);
    });

    it("spreads the closing of idle sessions", () => {
        const { decisions } = play((_atMs, closed) => ({ ...NOTHING, idleSessions: 30 - closed }));
        const closings = decisions.map(({ closeIdle }) => closeIdle).filter(count => count > 0);
        expect(closings.reduce((sum, count) => sum + count, 0)).toBe(30);
        expect(Math.max(...closings)).toBeLessThanOrEqual(6);
    });

    it("gives open transactions half of the grace, and is gone before its end", () => {
        const { exitMs, decisions } = play(() => ({ ...NOTHING, openTransactions: 1 }));
        expect(decisions.findIndex(({ endTransactions }) => endTransactions) * STEP_MS).toBe(GRACE_MS / 2);
        expect(exitMs).toBeLessThan(GRACE_MS);
    });
});
