import fc from "fast-check";
import { expect, it } from "vitest";
import { chooseRelayTimes } from "./chooseRelayTimes.ts";

it("a relay connection that loses only requests uses up the time in which a change has to be read", () => {
    fc.assert(fc.property(fc.integer({ min: 100, max: 600_000 }), contactMs => {
        const { waitMs, marginMs } = chooseRelayTimes(contactMs);
        expect(waitMs).toBeGreaterThan(0);
        expect(marginMs).toBeGreaterThan(0);
        expect(2 * waitMs + marginMs).toBeLessThanOrEqual(contactMs / 2);
    }));
});
