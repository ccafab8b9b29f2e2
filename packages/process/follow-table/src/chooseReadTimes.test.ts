import fc from "fast-check";
import { expect, it } from "vitest";
import { chooseReadTimes } from "./chooseReadTimes.ts";

/** The longest wait that the store accepts. */
const ACCEPTED_WAIT_MS = 30_000;
/** Time to connect and read again, with a collection of garbage between. */
const READ_AGAIN_MS = 250;

it("a call on a silent connection uses up the time in which a change has to be read", () => {
    fc.assert(fc.property(fc.integer({ min: 100, max: 600_000 }), contactMs => {
        const { waitMs, marginMs } = chooseReadTimes(contactMs);
        expect(waitMs).toBeGreaterThan(0);
        expect(waitMs).toBeLessThanOrEqual(ACCEPTED_WAIT_MS);
        expect(waitMs + marginMs + Math.min(READ_AGAIN_MS, 0.3 * contactMs)).toBeLessThanOrEqual(contactMs);
    }));
});

it.each([
    [5_000, { waitMs: 3_500, marginMs: 800 }],
    [2_000, { waitMs: 800, marginMs: 600 }],
    [60_000, { waitMs: 28_000, marginMs: 800 }],
])("the waits for a limit of %i ms differ from the expected ones", (limitMs, expected) => {
    expect(chooseReadTimes(limitMs)).toEqual(expected);
});
