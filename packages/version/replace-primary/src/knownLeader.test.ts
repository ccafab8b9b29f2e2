import type { StorePoint } from "@pomeloturn/types/StoreRow";
import { describe, expect, it } from "vitest";
import { createKnownLeader, type KnownLeader, recordAnswered, recordClaim, recordConfirmation, recordDenial } from "./knownLeader.ts";

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

describe("the claim of an instance that has not answered at its address", () => {
    it("does not depose a primary that has answered", () => {
        const known = knowLeader(["a", { era: 1, version: 9 }]);
        recordAnswered(known, "a");
        recordClaim(known, "false", true, { era: 1, version: 10 });
        expect(known.leaderId).toBe("a");
        recordClaim(known, "false", true, { era: 1, version: 11 });
        expect(known.leaderId).toBe("a");
    });

    it("does not depose a primary that was confirmed", () => {
        const known = knowLeader(["a", { era: 1, version: 9 }]);
        recordConfirmation(known, "a", 3);
        recordClaim(known, "false", true, { era: 1, version: 10 });
        expect(known.leaderId).toBe("a");
    });

    it("is not lost when the instance answers later", () => {
        const known = knowLeader(["a", { era: 1, version: 9 }]);
        recordAnswered(known, "a");
        recordClaim(known, "b", true, { era: 1, version: 10 });
        recordAnswered(known, "b");
        expect(known.leaderId).toBe("b");
    });

    it("is not ignored while no other instance claims to be the primary", () => {
        expect(knowLeader(["b", { era: 1, version: 10 }]).leaderId).toBe("b");
    });

    it("is not preferred to an older one of an instance that has answered when the primary is lost", () => {
        const known = knowLeader(["a", { era: 1, version: 9 }], ["b", { era: 1, version: 10 }]);
        recordAnswered(known, "a");
        recordAnswered(known, "b");
        recordClaim(known, "false", true, { era: 1, version: 11 });
        recordDenial(known, "b");
        expect(known.leaderId).toBe("a");
    });
});
