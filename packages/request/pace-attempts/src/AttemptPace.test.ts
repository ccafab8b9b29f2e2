import { describe, expect, it } from "vitest";
import { type AttemptPace, createAttemptPace, recordAttempt, recordRefusal, recordSuccess, waitBeforeAttemptMs } from "./AttemptPace.ts";

const URGENT = 0;
const LOWER = 2;
const MIDDLE_RANDOM = 0.5;
const LONGEST_WAIT_MS = 300;

/** Creates a pace after `count` refusals, with each statement sent as soon as allowed. */
const createRefusedPace = (count: number): { readonly pace: AttemptPace; readonly nowMs: number; } => {
    const pace = createAttemptPace();
    let nowMs = 0;
    for (let index = 0; index < count; index++) {
        nowMs += waitBeforeAttemptMs(pace, LOWER, nowMs);
        recordRefusal(pace, MIDDLE_RANDOM, nowMs);
    }
    return { pace, nowMs };
};

describe("pacing of statements to an instance", () => {
    it("does not delay statements while the instance refuses none", () => {
        const pace = createAttemptPace();
        recordAttempt(pace, LOWER, 0);
        expect(waitBeforeAttemptMs(pace, LOWER, 0)).toBe(0);
    });

    it("delays the lower ranks longer with each refusal, up to a limit", () => {
        const waits = [1, 2, 3, 20].map(count => {
            const { pace, nowMs } = createRefusedPace(count);
            return waitBeforeAttemptMs(pace, LOWER, nowMs);
        });
        expect(waits).toEqual([...waits].sort((one, other) => one - other));
        expect(waits[0]).toBeGreaterThan(0);
        expect(waits[3]).toBeLessThanOrEqual(LONGEST_WAIT_MS);
    });

    it("counts refusals of statements that were in flight together once", () => {
        const { pace } = createRefusedPace(1);
        const { intervalMs } = pace;
        recordRefusal(pace, MIDDLE_RANDOM, 1);
        expect(pace.intervalMs).toBe(intervalMs);
    });

    it("delays the most urgent rank only briefly, however often the instance refused", () => {
        const { pace, nowMs } = createRefusedPace(10);
        expect(waitBeforeAttemptMs(pace, URGENT, nowMs)).toBeLessThan(waitBeforeAttemptMs(pace, LOWER, nowMs) / 5);
    });

    it("allows one statement of a lower rank per interval", () => {
        const { pace, nowMs } = createRefusedPace(4);
        const allowedAtMs = nowMs + waitBeforeAttemptMs(pace, LOWER, nowMs);
        recordAttempt(pace, LOWER, allowedAtMs);
        expect(waitBeforeAttemptMs(pace, LOWER, allowedAtMs)).toBe(pace.intervalMs);
    });

    it("removes the delay after some statements were executed", () => {
        const { pace } = createRefusedPace(10);
        for (let index = 0; index < 8; index++) {
            recordSuccess(pace);
        }
        expect(pace.intervalMs).toBe(0);
    });
});
