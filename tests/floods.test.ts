import { describe, expect, it } from "vitest";
import { type FloodOptions, FloodSimulation, type Outcome, RANKS } from "./support/FloodSimulation.ts";

const SERVICE_MS = 10;
const WINDOW_MS = 10_000;
const FLOOD_FROM_MS = 5_000;
const DURATION_MS = 30_000;
const TARGET_LATENCY_MS = 100;
const BASE_LOADS = [0.3, 0.3, 0.3];
const SLOW_UNTIL_MS = 12_000;
const SLOW_FACTOR = 10;
const LED_AGAIN_AT_MS = 15_000;
const LEADERLESS_FROM_MS = 12_000;

/** What differs from an instance in good order, and the time from which targets are held. */
const conditions = {
    steady: { slowUntilMs: 0, isFailover: false, judgedFromMs: FLOOD_FROM_MS },
    recovering: { slowUntilMs: SLOW_UNTIL_MS, isFailover: false, judgedFromMs: SLOW_UNTIL_MS + 2_000 },
    failover: { slowUntilMs: 0, isFailover: true, judgedFromMs: LED_AGAIN_AT_MS },
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
    const capacityPerSecond = slots * 1_000 / SERVICE_MS;
    const { slowUntilMs, isFailover } = conditions[condition];
    return {
        slots,
        seed: 400 + floodRank * 100 + factor,
        durationMs: DURATION_MS,
        ratePerSecond: (rank, nowMs) => capacityPerSecond * (rank === floodRank && nowMs >= FLOOD_FROM_MS ? factor : BASE_LOADS[rank]!),
        serviceTimeMs: (nowMs, random) => SERVICE_MS * (0.5 + random) * (nowMs < slowUntilMs ? SLOW_FACTOR : 1),
        ledAgainAtMs: nowMs => isFailover && nowMs >= LEADERLESS_FROM_MS && nowMs < LED_AGAIN_AT_MS ? LED_AGAIN_AT_MS : 0,
        hasCredits,
    };
};

/** Slot time that a rank used between two times. */
const usedMs = (outcomes: readonly Outcome[], fromMs: number, toMs: number): number =>
    outcomes.reduce((sum, { startedAtMs, endedAtMs }) =>
        startedAtMs === undefined
            ? sum
            : sum + Math.max(0, Math.min(endedAtMs ?? DURATION_MS, toMs) - Math.max(startedAtMs, fromMs)), 0);

const smallestWindowMs = (outcomes: readonly Outcome[], fromMs: number): number => {
    let smallestMs = Infinity;
    for (let startMs = fromMs; startMs + WINDOW_MS <= DURATION_MS; startMs += 250) {
        const nearby = outcomes.filter(each =>
            (each.startedAtMs ?? -Infinity) > startMs - 1_000 && each.startedAtMs! < startMs + WINDOW_MS
        );
        smallestMs = Math.min(smallestMs, usedMs(nearby, startMs, startMs + WINDOW_MS));
    }
    return smallestMs;
};

const isInTime = ({ endedAtMs, deadlineAtMs }: Outcome): boolean => endedAtMs !== undefined && endedAtMs <= deadlineAtMs;

describe.each(cases)("flood of rank $floodRank at $factor times the capacity, $slots slots, $condition", floodCase => {
    const { slots, floodRank, condition } = floodCase;
    const { judgedFromMs } = conditions[condition];
    const simulation = FloodSimulation.run(createOptions(floodCase, true));
    const started = simulation.outcomes.filter(({ startedAtMs }) => startedAtMs !== undefined);

    it.runIf(floodRank !== 0)("answers 99% of the most urgent rank within its target", () => {
        const fromMs = condition === "failover" ? judgedFromMs + 1_000 : judgedFromMs;
        const urgent = simulation.outcomes.filter(each =>
            each.rank === 0 && each.arrivedAtMs >= fromMs && each.arrivedAtMs < DURATION_MS - 1_000
        );
        const inTarget = urgent.filter(each => each.endedAtMs !== undefined && each.endedAtMs - each.arrivedAtMs <= TARGET_LATENCY_MS);
        expect(inTarget.length / urgent.length).toBeGreaterThanOrEqual(0.99);
    });

    it("keeps each other rank's floor in every window of 10 s", () => {
        const fromMs = condition === "failover" ? LED_AGAIN_AT_MS : FLOOD_FROM_MS;
        for (let rank = 1; rank < RANKS.length; rank++) {
            const floorMs = RANKS[rank]!.floorShare * slots * WINDOW_MS;
            expect(smallestWindowMs(started.filter(each => each.rank === rank), fromMs)).toBeGreaterThanOrEqual(floorMs);
        }
    });

    it("uses at least 90% of the capacity for requests that are answered in time", () => {
        const goodMs = usedMs(started.filter(isInTime), judgedFromMs, DURATION_MS - 1_000);
        expect(goodMs / (slots * (DURATION_MS - 1_000 - judgedFromMs))).toBeGreaterThanOrEqual(0.9);
    });

    it("bounds the queues and refuses the flood before it crosses the link", () => {
        expect(simulation.maximumQueue).toBeLessThanOrEqual(500);
        const crossed = simulation.crossedCount;
        expect(crossed).toBeLessThanOrEqual(2 * started.length + 500 * RANKS.length);
    });

    it("gives each request one outcome", () => {
        expect(simulation.outcomes.filter(each => each.refusal !== undefined && each.startedAtMs !== undefined)).toEqual([]);
    });
});

describe.each([2, 3])("lower ranks at 50 times the capacity of %i slots", slots => {
    it("delay a most urgent request by at most one slot time", () => {
        const largestServiceMs = SERVICE_MS * 1.5;
        const urgentStarts = (lowerFactor: number): number[] => {
            const options = createOptions({ floodRank: 2, factor: lowerFactor, slots, condition: "steady" }, false);
            const ratePerSecond: FloodOptions["ratePerSecond"] = (rank, nowMs) =>
                rank === 1 ? slots * 100 * Math.max(lowerFactor, 1e-9) : options.ratePerSecond(rank, nowMs);
            const { outcomes } = FloodSimulation.run({ ...options, ratePerSecond, seed: 77, durationMs: 15_000 });
            return outcomes.filter(({ rank }) => rank === 0).map(({ startedAtMs }) => startedAtMs ?? Infinity);
        };
        const alone = urgentStarts(1e-9);
        const flooded = urgentStarts(50);
        const latest = Math.max(...flooded.slice(0, -20).map((startedAtMs, index) => startedAtMs - alone[index]!));
        expect(latest).toBeLessThanOrEqual(largestServiceMs);
        expect(latest).toBeGreaterThan(0);
    });
});
