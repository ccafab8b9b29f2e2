import { describe, expect, it } from "vitest";
import { type AttemptPace, createPace, recordBusy, recordServed, takeTurn, waitForTurn } from "./AttemptPace.ts";

const URGENT = 0;
const LOWER = 2;
const MIDDLE = 0.5;
const LONGEST_WAIT_MS = 300;

/** A pace after refusals at which each statement came as soon as it might. */
const refuse = (count: number): { readonly pace: AttemptPace; readonly nowMs: number; } => {
    const pace = createPace();
    let nowMs = 0;
    for (let index = 0; index < count; index++) {
        nowMs += waitForTurn(pace, LOWER, nowMs);
        recordBusy(pace, MIDDLE, nowMs);
    }
    return { pace, nowMs };
};

describe("the pace of attempts at an instance", () => {
    it("is free while the instance keeps up", () => {
        const pace = createPace();
        takeTurn(pace, LOWER, 0);
        expect(waitForTurn(pace, LOWER, 0)).toBe(0);
    });

    it("slows the lower ranks down further with each refusal, up to a limit", () => {
        const waits = [1, 2, 3, 20].map(count => {
            const { pace, nowMs } = refuse(count);
            return waitForTurn(pace, LOWER, nowMs);
        });
        expect(waits).toEqual([...waits].sort((one, other) => one - other));
        expect(waits[0]).toBeGreaterThan(0);
        expect(waits[3]).toBeLessThanOrEqual(LONGEST_WAIT_MS);
    });

    it("counts refusals of statements that were under way together once", () => {
        const { pace } = refuse(1);
        const { intervalMs } = pace;
        recordBusy(pace, MIDDLE, 1);
        expect(pace.intervalMs).toBe(intervalMs);
    });

    it("lets the most urgent rank come back soon, however busy the instance is", () => {
        const { pace, nowMs } = refuse(10);
        expect(waitForTurn(pace, URGENT, nowMs)).toBeLessThan(waitForTurn(pace, LOWER, nowMs) / 5);
    });

    it("lets one statement of a lower rank go an interval", () => {
        const { pace, nowMs } = refuse(4);
        const turnMs = nowMs + waitForTurn(pace, LOWER, nowMs);
        takeTurn(pace, LOWER, turnMs);
        expect(waitForTurn(pace, LOWER, turnMs)).toBe(pace.intervalMs);
    });

    it("is free again after some statements were served", () => {
        const { pace } = refuse(10);
        for (let index = 0; index < 8; index++) {
            recordServed(pace);
        }
        expect(pace.intervalMs).toBe(0);
    });
});
