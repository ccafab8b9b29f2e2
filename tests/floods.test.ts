import { describe, expect, it } from "vitest";
import { type FloodOptions, FloodSimulation, RANKS, type RequestOutcome } from "./support/FloodSimulation.ts";

const SERVICE_TIME_MS = 10;
const WINDOW_MS = 10_000;
const FLOOD_FROM_MS = 5_000;
const DURATION_MS = 30_000;
const TARGET_LATENCY_MS = 100;
const BASE_LOAD_SHARES = [0.3, 0.3, 0.3];
const SLOW_UNTIL_MS = 12_000;
const SLOW_FACTOR = 10;
const LEADER_RESTORED_AT_MS = 15_000;
const LEADERLESS_FROM_MS = 12_000;

/** Faults of the instance, and the time from which the targets are checked. */
const conditions = {
    steady: { slowUntilMs: 0, isFailover: false, checkedFromMs: FLOOD_FROM_MS },
    recovering: { slowUntilMs: SLOW_UNTIL_MS, isFailover: false, checkedFromMs: SLOW_UNTIL_MS + 2_000 },
    failover: { slowUntilMs: 0, isFailover: true, checkedFromMs: LEADER_RESTORED_AT_MS },
} as const;

interface FloodCase {
    readonly floodRank: number;
    readonly factor: number;
    readonly slots: number;
    readonly condition: keyof typeof conditions;
}

const cases: FloodCase[] = [0, 1, 2].flatMap(floodRank =>
    [[10, 2], [50, 3]].flatMap(([factor, slots]) =>
        (["steady", "recovering", "failover"] as const).map(condition => ({ floodRank, factor: factor!, slots: slots!, condition }))
    )
);

const createOptions = ({ floodRank, factor, slots, condition }: FloodCase, hasCredits: boolean): FloodOptions => {
    const capacityPerSecond = slots * 1_000 / SERVICE_TIME_MS;
    const { slowUntilMs, isFailover } = conditions[condition];
    return {
        slots,
        seed: 400 + floodRank * 100 + factor,
        durationMs: DURATION_MS,
        ratePerSecond: (rank, nowMs) =>
            capacityPerSecond * (rank === floodRank && nowMs >= FLOOD_FROM_MS ? factor : BASE_LOAD_SHARES[rank]!),
        serviceTimeMs: (nowMs, random) => SERVICE_TIME_MS * (0.5 + random) * (nowMs < slowUntilMs ? SLOW_FACTOR : 1),
        leaderRestoredAtMs: nowMs => isFailover && nowMs >= LEADERLESS_FROM_MS && nowMs < LEADER_RESTORED_AT_MS ? LEADER_RESTORED_AT_MS : 0,
        hasCredits,
    };
};

/** Sums the slot time in milliseconds that the requests used between two times. */
const sumSlotTimeMs = (outcomes: readonly RequestOutcome[], fromMs: number, toMs: number): number =>
    outcomes.reduce((sum, { startedAtMs, endedAtMs }) =>
        startedAtMs === undefined
            ? sum
            : sum + Math.max(0, Math.min(endedAtMs ?? DURATION_MS, toMs) - Math.max(startedAtMs, fromMs)), 0);

const findSmallestSlotTimeMs = (outcomes: readonly RequestOutcome[], fromMs: number): number => {
    let leastSlotTimeMs = Infinity;
    for (let startMs = fromMs; startMs + WINDOW_MS <= DURATION_MS; startMs += 250) {
        const startedNearWindow = outcomes.filter(each =>
            (each.startedAtMs ?? -Infinity) > startMs - 1_000 && each.startedAtMs! < startMs + WINDOW_MS
        );
        leastSlotTimeMs = Math.min(leastSlotTimeMs, sumSlotTimeMs(startedNearWindow, startMs, startMs + WINDOW_MS));
    }
    return leastSlotTimeMs;
};

const isAnsweredInTime = ({ endedAtMs, deadlineAtMs }: RequestOutcome): boolean => endedAtMs !== undefined && endedAtMs <= deadlineAtMs;

describe.each(cases)("flood of rank $floodRank at $factor times the capacity, $slots slots, $condition", floodCase => {
    const { slots, floodRank, condition } = floodCase;
    const { checkedFromMs } = conditions[condition];
    const simulation = FloodSimulation.run(createOptions(floodCase, true));
    const started = simulation.outcomes.filter(({ startedAtMs }) => startedAtMs !== undefined);

    it.runIf(floodRank !== 0)("answers 99% of the requests of the most urgent rank within its target latency", () => {
        const fromMs = condition === "failover" ? checkedFromMs + 1_000 : checkedFromMs;
        const urgent = simulation.outcomes.filter(each =>
            each.rank === 0 && each.arrivedAtMs >= fromMs && each.arrivedAtMs < DURATION_MS - 1_000
        );
        const withinTarget = urgent.filter(each => each.endedAtMs !== undefined && each.endedAtMs - each.arrivedAtMs <= TARGET_LATENCY_MS);
        expect(withinTarget.length / urgent.length).toBeGreaterThanOrEqual(0.99);
    });

    it("gives every other rank its floor of slot time in every 10 s window", () => {
        const fromMs = condition === "failover" ? LEADER_RESTORED_AT_MS : FLOOD_FROM_MS;
        for (let rank = 1; rank < RANKS.length; rank++) {
            const floorMs = RANKS[rank]!.floorShare * slots * WINDOW_MS;
            expect(findSmallestSlotTimeMs(started.filter(each => each.rank === rank), fromMs)).toBeGreaterThanOrEqual(floorMs);
        }
    });

    it("uses at least 90% of the capacity for requests that are answered before their deadline", () => {
        const usefulMs = sumSlotTimeMs(started.filter(isAnsweredInTime), checkedFromMs, DURATION_MS - 1_000);
        expect(usefulMs / (slots * (DURATION_MS - 1_000 - checkedFromMs))).toBeGreaterThanOrEqual(0.9);
    });

    it("bounds the queue lengths and refuses excess requests before they are sent over the link", () => {
        expect(simulation.maximumQueueLength).toBeLessThanOrEqual(500);
        const forwardedCount = simulation.forwardedCount;
        expect(forwardedCount).toBeLessThanOrEqual(2 * started.length + 500 * RANKS.length);
    });

    it("never starts a request that it refuses", () => {
        expect(simulation.outcomes.filter(each => each.refusal !== undefined && each.startedAtMs !== undefined)).toEqual([]);
    });
});

describe.each([2, 3])("lower ranks with an arrival rate of 50 times the capacity of %i slots", slots => {
    it("delay a request of the most urgent rank by at most one service time", () => {
        const largestServiceTimeMs = SERVICE_TIME_MS * 1.5;
        const findUrgentStartsMs = (lowerFactor: number): number[] => {
            const options = createOptions({ floodRank: 2, factor: lowerFactor, slots, condition: "steady" }, false);
            const ratePerSecond: FloodOptions["ratePerSecond"] = (rank, nowMs) =>
                rank === 1 ? slots * 100 * Math.max(lowerFactor, 1e-9) : options.ratePerSecond(rank, nowMs);
            const { outcomes } = FloodSimulation.run({ ...options, ratePerSecond, seed: 77, durationMs: 15_000 });
            return outcomes.filter(({ rank }) => rank === 0).map(({ startedAtMs }) => startedAtMs ?? Infinity);
        };
        const startsWithoutLoad = findUrgentStartsMs(1e-9);
        const startsUnderLoad = findUrgentStartsMs(50);
        const largestDelayMs = Math.max(
            ...startsUnderLoad.slice(0, -20).map((startedAtMs, index) => startedAtMs - startsWithoutLoad[index]!),
        );
        expect(largestDelayMs).toBeLessThanOrEqual(largestServiceTimeMs);
        expect(largestDelayMs).toBeGreaterThan(0);
    });
});
