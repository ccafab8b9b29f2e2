import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    createServerPace,
    intervalMs,
    isLimiting,
    MAXIMUM_INTERVAL_MS,
    recordAnswer,
    recordAttempt,
    recordLoss,
    recordRefusal,
    recordStart,
    type ServerPace,
    waitForAttemptMs,
} from "./ServerPace.ts";

const URGENT = 0;
const LOWEST = 2;
const SLOT_COUNT = 4;
const VM_COUNT = 73;
const ON_TIME_MS = 10;
const LATE_MS = 2_000;

const startPace = (vmCount = VM_COUNT, random = 0): ServerPace => {
    const pace = createServerPace();
    recordStart(pace, SLOT_COUNT, vmCount, random, 0);
    return pace;
};

const fail = (sentAtMs: number, inFlightCount = 1): Parameters<typeof recordLoss>[1] => ({ sentAtMs, inFlightCount, random: 1 / 2 });

describe("pace of a started instance", () => {
    it("would fail if all VMs tried it at the same moment", () => {
        const waits = [0, 0.25, 0.5, 0.75, 1].map(random => waitForAttemptMs(startPace(VM_COUNT, random), 0, LOWEST, 0));
        expect(new Set(waits).size).toBe(waits.length);
    });

    it.each([8, 73, 116])("would fail if one of %i VMs tried it less often than once per 200 ms", vmCount => {
        expect(waitForAttemptMs(startPace(vmCount, 1), 0, LOWEST, 0)).toBeLessThanOrEqual(200);
    });

    it("would fail if the window grew by less than a doubling per round before the first sign of overload", () => {
        const pace = startPace(1);
        expect(pace.window).toBe(SLOT_COUNT);
        for (let index = 0; index < SLOT_COUNT; index++) {
            recordAnswer(pace, ON_TIME_MS, 10);
        }
        expect(pace.window).toBe(2 * SLOT_COUNT);
    });

    it("would fail if the most urgent rank waited as long as the others", () => {
        const pace = startPace(VM_COUNT, 1);
        expect(waitForAttemptMs(pace, 0, URGENT, 0)).toBeLessThan(waitForAttemptMs(pace, 0, LOWEST, 0) / 5);
    });
});

describe("pace of an instance that refuses or fails", () => {
    it("would fail if attempts that were in flight together reduced the window more than once", () => {
        const pace = startPace(1);
        recordRefusal(pace, fail(5), 10);
        const { window } = pace;
        recordRefusal(pace, fail(6), 11);
        expect(pace.window).toBe(window);
    });

    it("would fail if the window went on doubling after a refusal", () => {
        const pace = startPace(1);
        recordRefusal(pace, fail(5), 10);
        const { window } = pace;
        recordAnswer(pace, ON_TIME_MS, 30);
        expect(pace.window - window).toBeLessThan(0.5);
    });

    it("would fail if a late answer enlarged the window or a usual one did not", () => {
        const pace = startPace(1);
        recordAnswer(pace, ON_TIME_MS, 10);
        const { window } = pace;
        recordAnswer(pace, LATE_MS, 20 + LATE_MS);
        expect(pace.window).toBeLessThan(window);
        recordAnswer(pace, 2 * ON_TIME_MS, 30 + LATE_MS);
        expect(pace.window).toBeGreaterThan(window * 0.85);
    });

    it("would fail if an instance that does not answer were tried less often than once per 800 ms, or more often than per 200 ms", () => {
        const pace = createServerPace();
        let nowMs = 0;
        for (let index = 0; index < 20; index++) {
            const waitMs = waitForAttemptMs(pace, 1, LOWEST, nowMs);
            expect(waitMs).toBeLessThanOrEqual(MAXIMUM_INTERVAL_MS);
            if (index > 6) {
                expect(waitMs).toBeGreaterThanOrEqual(200);
            }
            nowMs += waitMs;
            recordAttempt(pace, nowMs);
            recordLoss(pace, fail(nowMs), nowMs);
        }
    });

    it("would fail if attempts without an answer blocked an instance with a larger window", () => {
        const pace = startPace(1);
        recordAttempt(pace, 0);
        expect(waitForAttemptMs(pace, SLOT_COUNT, LOWEST, 10)).toBeGreaterThan(0);
        expect(waitForAttemptMs(pace, SLOT_COUNT, LOWEST, MAXIMUM_INTERVAL_MS)).toBe(0);
    });
});

describe("end of the pacing", () => {
    it("would fail if an instance that had no trouble were limited", () => {
        expect(waitForAttemptMs(createServerPace(), 1_000, LOWEST, 0)).toBe(0);
    });

    it("would fail if the window still limited after as many answers as end the fixed backoff", () => {
        const pace = startPace();
        recordRefusal(pace, fail(0), 0);
        for (let index = 0; index < 8; index++) {
            recordAnswer(pace, ON_TIME_MS, 100);
        }
        expect(waitForAttemptMs(pace, 1_000, LOWEST, 100)).toBe(0);
    });

    it("would fail if the window limited after a quiet time with answers, or did not after one without any", () => {
        const pace = startPace();
        expect(isLimiting(pace, 60_000)).toBe(true);
        recordAnswer(pace, ON_TIME_MS, 60_000);
        expect(isLimiting(pace, 60_000)).toBe(false);
        recordRefusal(pace, fail(60_010), 60_020);
        recordAnswer(pace, ON_TIME_MS, 60_100);
        expect(isLimiting(pace, 60_500)).toBe(true);
    });

    it("would fail if any order of events made the interval longer than the backoff of a pool", () => {
        const event = fc.record({
            kind: fc.constantFrom("answer", "late", "refusal", "loss", "attempt"),
            afterMs: fc.integer({ min: 0, max: 1_000 }),
            random: fc.double({ min: 0, max: 1, noNaN: true }),
            inFlightCount: fc.integer({ min: 0, max: 20 }),
        });
        fc.assert(fc.property(fc.array(event, { maxLength: 60 }), events => {
            const pace = startPace();
            let nowMs = 0;
            for (const { kind, afterMs, random, inFlightCount } of events) {
                nowMs += afterMs;
                const failure = { sentAtMs: nowMs, inFlightCount, random };
                const handlers: Readonly<Record<string, () => void>> = {
                    answer: () => recordAnswer(pace, ON_TIME_MS, nowMs),
                    late: () => recordAnswer(pace, LATE_MS, nowMs),
                    refusal: () => recordRefusal(pace, failure, nowMs),
                    loss: () => recordLoss(pace, failure, nowMs),
                    attempt: () => recordAttempt(pace, nowMs),
                };
                handlers[kind]!();
                expect(waitForAttemptMs(pace, inFlightCount, LOWEST, nowMs)).toBeLessThanOrEqual(MAXIMUM_INTERVAL_MS);
                expect(intervalMs(pace)).toBeLessThanOrEqual(MAXIMUM_INTERVAL_MS);
            }
        }));
    });
});
