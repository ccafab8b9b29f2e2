import type { StorePoint } from "@pomeloturn/types/StoreRow";
import { describe, expect, it } from "vitest";
import { createKnownLeader, type KnownLeader, recordClaim, recordDenial } from "./knownLeader.ts";

const knowLeader = (...claims: readonly (readonly [string, StorePoint])[]): KnownLeader => {
    const known = createKnownLeader();
    claims.forEach(([id, writtenAt]) => recordClaim(known, id, true, writtenAt));
    return known;
};

describe("the claim of an instance to be the primary, after a restore of the store", () => {
    it("is not ignored when it has the version of a claim that was disproved before", () => {
        const known = knowLeader(["a", { era: 1, version: 9 }]);
        recordDenial(known, "a");
        expect(known.leaderId).toBeUndefined();
        recordClaim(known, "a", true, { era: 2, version: 9 });
        expect(known.leaderId).toBe("a");
    });

    it("is not outdone by an older claim that has a higher version", () => {
        expect(knowLeader(["a", { era: 1, version: 90 }], ["b", { era: 2, version: 9 }]).leaderId).toBe("b");
    });
});
