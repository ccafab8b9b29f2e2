import { expect, it } from "vitest";
import { type Candidate, chooseCandidate, Distance } from "./rankCandidates.ts";

const near: Candidate = {
    id: "near",
    latencyMs: 15,
    load: 0,
    distance: Distance.SameDomain,
    isDraining: false,
    isUnreachable: false,
    isPrimary: false,
    isBehind: false,
    waitMs: 0,
};
const zone: Candidate = { ...near, id: "zone", distance: Distance.SameRegion };
const far: Candidate = { ...near, id: "far", distance: Distance.OtherRegion, latencyMs: 40 };
const TARGET_MS = 600;

it.each(
    [
        ["the nearest", [far, zone, near], [], "near"],
        ["the nearest while its load costs less than the longer path", [{ ...near, load: 5 }, zone], [], "near"],
        ["another one when the nearest has many outstanding requests", [{ ...near, load: 20 }, zone], [], "zone"],
        ["another one when the nearest was busy and must not be tried yet", [{ ...near, waitMs: 200 }, far], [], "far"],
        ["none that is draining", [{ ...near, isDraining: true }, far], [], "far"],
        ["none that is behind", [{ ...near, isBehind: true }, far], [], "far"],
        ["none that was already tried", [near, zone], ["near"], "zone"],
        ["a replica before the primary", [{ ...near, id: "primary", isPrimary: true }, { ...near, latencyMs: 16 }], [], "near"],
        ["nothing when all are unreachable", [{ ...near, isUnreachable: true }], [], undefined],
    ] as const,
)("chooses %s", (_what, candidates, excluded, id) => {
    expect(chooseCandidate(candidates, new Set(excluded), TARGET_MS)?.id).toBe(id);
});
