import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { InstancePacing, type Turn } from "./InstancePacing.ts";

const LOWEST = 2;
const URGENT = 0;
const LIMIT_MS = 2_400;
const MAXIMUM_INTERVAL_MS = 800;
const VM_COUNT = 73;
const SLOT_COUNT = 4;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});
afterEach(() => {
    vi.useRealTimers();
});

const nowMs = (): number => performance.now();
const createPacing = (): InstancePacing => InstancePacing.create({ nowMs, random: () => 1 / 2 });

/** Pacing of an instance that has not answered for some time. */
const createSilentPacing = (): InstancePacing => {
    const pacing = createPacing();
    for (let index = 0; index < 10; index++) {
        pacing.recordFailedOpening(false, nowMs());
    }
    return pacing;
};

/** Waits for a turn and records when it ended. */
const wait = (
    pacing: InstancePacing,
    rank = LOWEST,
    limitMs = LIMIT_MS,
    isDone = (): boolean => false,
): { endedAtMs?: number; turn?: Turn; } => {
    const outcome: { endedAtMs?: number; turn?: Turn; } = {};
    void pacing.waitForTurn(rank, nowMs() + limitMs, isDone).then(turn => Object.assign(outcome, { turn, endedAtMs: nowMs() }));
    return outcome;
};

describe("InstancePacing", () => {
    it("would fail if statements waited at an instance without trouble", async () => {
        const pacing = createPacing();
        const outcomes = Array.from({ length: 50 }, () => wait(pacing));
        await vi.advanceTimersByTimeAsync(0);
        expect(outcomes.every(({ turn }) => turn?.isAllowed)).toBe(true);
        expect(pacing.expectWaitMs(LOWEST)).toBe(0);
    });

    it("would fail if a statement waited beyond its limit, or if one was refused only then", async () => {
        const pacing = createSilentPacing();
        const startedAtMs = nowMs();
        const outcomes = Array.from({ length: 40 }, () => wait(pacing));
        await vi.advanceTimersByTimeAsync(0);
        expect(outcomes.filter(({ turn }) => turn?.isAllowed === false).length).toBeGreaterThan(20);
        await vi.advanceTimersByTimeAsync(LIMIT_MS);
        expect(outcomes.every(({ endedAtMs }) => endedAtMs !== undefined && endedAtMs <= startedAtMs + LIMIT_MS)).toBe(true);
        expect(outcomes.filter(({ turn }) => turn?.isAllowed === true).length).toBeLessThanOrEqual(LIMIT_MS / MAXIMUM_INTERVAL_MS + 1);
    });

    it("would fail if statements still waited after an instance had answered as often as ends the fixed backoff", async () => {
        const pacing = createSilentPacing();
        const outcomes = Array.from({ length: 3 }, () => wait(pacing));
        for (let index = 0; index < 8; index++) {
            pacing.recordAnswer(10);
        }
        await vi.advanceTimersByTimeAsync(0);
        expect(outcomes.every(({ turn }) => turn?.isAllowed)).toBe(true);
    });

    it("would fail if a statement whose caller has disconnected took the turn of another", async () => {
        const pacing = createSilentPacing();
        let isDone = false;
        const abandoned = wait(pacing, LOWEST, LIMIT_MS, () => isDone);
        const other = wait(pacing);
        isDone = true;
        await vi.advanceTimersByTimeAsync(MAXIMUM_INTERVAL_MS);
        expect(abandoned.turn?.isAllowed).toBe(false);
        expect(other.turn?.isAllowed).toBe(true);
    });

    it("would fail if the most urgent rank waited behind the others", async () => {
        const pacing = createSilentPacing();
        const lower = wait(pacing);
        const urgent = wait(pacing, URGENT);
        await vi.advanceTimersByTimeAsync(MAXIMUM_INTERVAL_MS / 4);
        expect(urgent.turn?.isAllowed).toBe(true);
        expect(lower.turn).toBeUndefined();
    });

    it("would fail if statements kept waiting for an instance that was replaced", async () => {
        const pacing = createSilentPacing();
        const outcome = wait(pacing);
        pacing.retire();
        await vi.advanceTimersByTimeAsync(0);
        expect(outcome.turn).toBeDefined();
        expect(vi.getTimerCount()).toBe(0);
    });

    it("would fail if an instance that does not answer were not tried once per 800 ms", async () => {
        const pacing = createSilentPacing();
        let probeCount = 0;
        for (let atMs = 0; atMs < 8_000; atMs += 200) {
            if (pacing.takeProbe()) {
                probeCount++;
                pacing.recordFailedOpening(false, nowMs());
            }
            await vi.advanceTimersByTimeAsync(200);
        }
        expect(probeCount).toBeGreaterThanOrEqual(9);
        expect(probeCount).toBeLessThanOrEqual(40);
    });

    it("would fail if a metric did not tell a limited instance from another", () => {
        const pacing = createPacing();
        expect(pacing.summarize("ledger", "i-1").window).toBe(Infinity);
        pacing.recordStart(SLOT_COUNT, VM_COUNT);
        pacing.recordRefusal(nowMs());
        expect(pacing.summarize("ledger", "i-1")).toMatchObject({ service: "ledger", instance: "i-1", refusalCount: 1, lossCount: 0 });
        expect(pacing.summarize("ledger", "i-1").window).toBeLessThan(1);
    });
});
