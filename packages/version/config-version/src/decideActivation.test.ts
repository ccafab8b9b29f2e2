import fc from "fast-check";
import { expect, it } from "vitest";
import { ActivationDecision, decideActivation, type VersionReference } from "./decideActivation.ts";

const SEED = 5_041;

const version = (number: number, objectName = `object-${number}`): VersionReference => ({ version: number, objectName });

it.each([
    ["a new VM activates the offered version", undefined, version(3), ActivationDecision.Activate],
    ["a higher version is activated", version(3), version(4), ActivationDecision.Activate],
    ["a version that skips numbers is activated", version(3), version(9), ActivationDecision.Activate],
    ["the same version is kept", version(3), version(3), ActivationDecision.Keep],
    ["a lower version is ignored", version(3), version(2), ActivationDecision.Keep],
    ["an empty store is ignored", version(3), version(0, ""), ActivationDecision.Keep],
    ["a new VM activates nothing while the store is empty", undefined, version(0, ""), ActivationDecision.Keep],
    ["a different object with the same version is reported", version(3), version(3, "other"), ActivationDecision.Conflicting],
])("%s", (_name, current, offered, decision) => {
    expect(decideActivation(current, offered)).toBe(decision);
});

it("ends at the highest version in any order of offers and never lowers the version", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: 20 }), { minLength: 1, maxLength: 30 }), offers => {
            let current: VersionReference | undefined;
            for (const offered of offers.map(number => version(number))) {
                const before = current?.version ?? 0;
                current = decideActivation(current, offered) === ActivationDecision.Activate ? offered : current;
                expect(current?.version ?? 0).toBeGreaterThanOrEqual(before);
            }
            expect(current?.version ?? 0).toBe(Math.max(...offers));
        }),
        { seed: SEED, numRuns: 1_000 },
    );
});
