import { describe, expect, it } from "vitest";
import { createConnectionUse, recordUse, recordUseStart } from "./ConnectionUse.ts";
import { decideAdmission, estimateWaitMs } from "./decideAdmission.ts";
import { type ReplayedLoad, type ReplayedRequest, replayLoad } from "./support/QueueSimulation.ts";

const URGENT = 0;
const LOWEST = 2;
const NO_BURST = [] as const;

/** Usual load of one VM on one instance: 0.6 of what two connections can run. */
const createLoad = (
    bursts: readonly (readonly { fromMs: number; toMs: number; factor: number; }[])[],
    outages: ReplayedLoad["outages"] = [],
): ReplayedLoad => ({
    lengthMs: 20_000,
    connectionCount: 2,
    arrivals: [
        { rank: URGENT, perSecond: 8, useMs: 12, limitMs: 400, bursts: bursts[0] ?? NO_BURST },
        { rank: 1, perSecond: 6, useMs: 40, limitMs: 800, bursts: bursts[1] ?? NO_BURST },
        { rank: LOWEST, perSecond: 36, useMs: 24, limitMs: 400, bursts: bursts[2] ?? NO_BURST },
    ],
    outages,
});

const BURST = [{ fromMs: 4_000, toMs: 10_000, factor: 2.6 }];
const LOADS: readonly (readonly [string, ReplayedLoad])[] = [
    ["2.6 times the lowest rank for 6 s", createLoad([NO_BURST, NO_BURST, BURST])],
    ["bursts of two kinds in turn", createLoad([[{ fromMs: 10_000, toMs: 13_500, factor: 1.8 }], NO_BURST, BURST])],
    ["the instance dead for 1.5 s in a burst", createLoad([NO_BURST, NO_BURST, BURST], [{ fromMs: 6_000, toMs: 7_500 }])],
    [
        "all replicas behind, so that three times the load comes here",
        createLoad([NO_BURST, BURST.map(each => ({ ...each, factor: 3 })), BURST.map(each => ({ ...each, factor: 3 }))]),
    ],
    ["a cold start with the load of two seconds at once", createLoad([NO_BURST, NO_BURST, [{ fromMs: 0, toMs: 50, factor: 40 }]])],
];

describe("admission to the queue of an instance", () => {
    it.each(LOADS)("refuses on arrival rather than after a wait: %s", (_what, load) => {
        // Those that wait when an instance dies, or arrive before its silence exceeds their limit, cannot be told so on arrival.
        const isForeseeable = ({ arrivedAtMs, limitMs }: ReplayedRequest): boolean =>
            load.outages.every(({ fromMs }) => Math.abs(arrivedAtMs - fromMs) > limitMs);
        const heldMs = (isDecided: boolean): number =>
            replayLoad(load, isDecided).filter(isForeseeable).filter(({ refusedAtMs }) => refusedAtMs !== undefined)
                .reduce((sumMs, { refusedAtMs, arrivedAtMs }) => sumMs + refusedAtMs! - arrivedAtMs, 0);
        expect(heldMs(true)).toBeLessThanOrEqual(heldMs(false) / 4);
    });

    it.each(LOADS)("serves as many requests as without the decision: %s", (_what, load) => {
        const servedCount = (isDecided: boolean): number =>
            replayLoad(load, isDecided).filter(({ startedAtMs }) => startedAtMs !== undefined).length;
        expect(servedCount(true)).toBeGreaterThanOrEqual(0.98 * servedCount(false));
    });

    it.each(LOADS.filter(([, { outages }]) => outages.length === 0))(
        "starts all urgent requests within their objective: %s",
        (_what, load) => {
            const urgent = replayLoad(load, true).filter(({ rank, arrivedAtMs }) => rank === URGENT && arrivedAtMs < load.lengthMs - 500);
            expect(urgent.every(({ startedAtMs, arrivedAtMs }) => startedAtMs !== undefined && startedAtMs - arrivedAtMs <= 100)).toBe(
                true,
            );
        },
    );

    it("spreads the return of refused callers", () => {
        const [[, load]] = LOADS as [typeof LOADS[0]];
        const returns = replayLoad(load, true).filter(({ retryAfterMs }) => retryAfterMs !== undefined)
            .map(({ refusedAtMs, retryAfterMs }) => Math.floor((refusedAtMs! + retryAfterMs!) / 100));
        const largest = Math.max(...[...new Set(returns)].map(slot => returns.filter(other => other === slot).length));
        expect(returns.length).toBeGreaterThan(50);
        expect(largest / returns.length).toBeLessThan(0.05);
    });

    it("admits everything while a connection is free or nothing is known", () => {
        const use = createConnectionUse();
        expect(estimateWaitMs({ use, aheadCount: 9, connectionCount: 1, freeCount: 0 }, LOWEST, 100)).toBe(0);
        recordUse(use, LOWEST, 30, 100);
        expect(estimateWaitMs({ use, aheadCount: 1, connectionCount: 4, freeCount: 2 }, LOWEST, 900)).toBe(0);
        expect(decideAdmission(0, 1, 0)).toEqual({ isAdmitted: true });
    });

    it("does not take a time without requests for a queue that stands still", () => {
        const use = createConnectionUse();
        recordUse(use, LOWEST, 30, 100);
        recordUseStart(use, 9_000);
        expect(estimateWaitMs({ use, aheadCount: 0, connectionCount: 1, freeCount: 0 }, LOWEST, 9_010)).toBe(30);
        expect(estimateWaitMs({ use, aheadCount: 0, connectionCount: 1, freeCount: 0 }, LOWEST, 9_830)).toBe(800);
    });
});
