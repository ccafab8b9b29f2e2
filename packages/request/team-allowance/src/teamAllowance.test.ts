import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type AllowanceBucket, createBucket, takeToken } from "./AllowanceBucket.ts";
import { type AllowanceBounds, computeSeatLimits, SEAT_COUNT, type SeatLimits } from "./computeSeatLimits.ts";

const BOUNDS: AllowanceBounds = { windowS: 5, overageShare: 0.1, slackOperations: 20 };
const SEATS = Array.from({ length: SEAT_COUNT }, (_value, seat) => seat);
const MS_PER_S = 1_000;

const createTeam = (operationsPerS: number, burstOperations: number): Parameters<typeof computeSeatLimits>[0] => ({
    name: "team",
    operationsPerS,
    burstOperations,
});

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Takes as many tokens as there are. @returns their number */
const takeAll = (bucket: AllowanceBucket, limits: SeatLimits, nowMs: number): number => {
    let count = 0;
    while (takeToken(bucket, limits, nowMs).isGranted) {
        count++;
    }
    return count;
};

describe("computeSeatLimits", () => {
    it.each([
        ["a large team", 180, 180],
        ["a small team", 1.5, 1.5],
        ["a team that may run nothing", 0, 0],
    ])("keeps the sum of the seats within the bounds for %s", (_what, operationsPerS, burstOperations) => {
        const limits = SEATS.map(seat => computeSeatLimits(createTeam(operationsPerS, burstOperations), BOUNDS, seat));
        const total = sum(limits.map(each => each.operationsPerS * BOUNDS.windowS + each.capacityOperations));
        expect(total).toBeLessThan((operationsPerS * 5 + burstOperations) * 1.1 + 20);
    });

    it("would fail if clocks that run 1% too fast let the seats exceed the bounds", () => {
        const limits = SEATS.map(seat => computeSeatLimits(createTeam(180, 180), BOUNDS, seat));
        const total = sum(limits.map(each => each.operationsPerS * 1.01 * BOUNDS.windowS + each.capacityOperations));
        expect(total).toBeLessThan((180 * 5 + 180) * 1.1 + 20);
    });

    it("would fail if two of four seats granted less than a team needs that uses five eighths of its allowance", () => {
        const limits = SEATS.map(seat => computeSeatLimits(createTeam(180, 180), BOUNDS, seat));
        expect(sum(limits.map(each => each.operationsPerS))).toBeGreaterThan(180);
        expect(limits[0]!.operationsPerS + limits[1]!.operationsPerS).toBeGreaterThan(180 * 5 / 8);
    });

    it("would fail if a small allowance were divided into buckets that never hold a whole token", () => {
        const bounds = { windowS: 5, overageShare: 0, slackOperations: 0 };
        const limits = SEATS.map(seat => computeSeatLimits(createTeam(0.5, 1), bounds, seat));
        expect(limits.map(each => each.capacityOperations >= 1)).toEqual([true, false, false, false]);
    });
});

describe("takeToken", () => {
    it("grants what the capacity holds, then the rate, and says when the next token is due", () => {
        const limits = { operationsPerS: 10, capacityOperations: 3 };
        const bucket = createBucket(3, 0);
        expect(takeAll(bucket, limits, 0)).toBe(3);
        expect(takeToken(bucket, limits, 50)).toEqual({ isGranted: false, retryAfterMs: 50 });
        expect(takeAll(bucket, limits, 1_050)).toBe(3);
    });

    it("would fail if tokens of a raised limit outlasted its reduction", () => {
        const bucket = createBucket(0, 0);
        takeToken(bucket, { operationsPerS: 100, capacityOperations: 50 }, 1_000);
        expect(takeAll(bucket, { operationsPerS: 1, capacityOperations: 2 }, 1_000)).toBe(2);
    });

    it("would fail if any window had more operations than the bounds accept, whenever callers ask", () => {
        fc.assert(
            fc.property(
                fc.double({ min: 0, max: 300, noNaN: true }),
                fc.double({ min: 0, max: 400, noNaN: true }),
                fc.array(fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 700 }), fc.integer({ min: 1, max: 90 })), {
                    maxLength: 120,
                }),
                (operationsPerS, burstOperations, asks) => {
                    const team = createTeam(operationsPerS, burstOperations);
                    const limits = SEATS.map(seat => computeSeatLimits(team, BOUNDS, seat));
                    const buckets = limits.map(each => createBucket(each.capacityOperations, 0));
                    let nowMs = 0;
                    const grants: number[] = [];
                    for (const [seat, pauseMs, count] of asks) {
                        nowMs += pauseMs;
                        for (let index = 0; index < count; index++) {
                            if (takeToken(buckets[seat]!, limits[seat]!, nowMs).isGranted) {
                                grants.push(nowMs);
                            }
                        }
                    }
                    const allowed = (operationsPerS * 5 + burstOperations) * 1.1 + 20;
                    let first = 0;
                    grants.forEach((atMs, index) => {
                        while (atMs - grants[first]! > BOUNDS.windowS * MS_PER_S) {
                            first++;
                        }
                        expect(index - first + 1).toBeLessThanOrEqual(allowed);
                    });
                },
            ),
            { seed: 34, numRuns: 200 },
        );
    });
});
