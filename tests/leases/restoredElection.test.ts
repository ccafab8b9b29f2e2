import { expect, test } from "vitest";
import { END_MS, HEAL_AT_MS } from "./support/faultArbitrary.ts";
import { type Fault, runWithFaults } from "./support/faults.ts";
import { LeaseSimulation } from "./support/LeaseSimulation.ts";

const SEED_COUNT = 20;

/** The store loses the election of a new holder before the other candidate has heard of it. */
const SCHEDULE: readonly Fault[] = [
    { kind: "isolateHolderWithPrimary", target: 0, isLeader: false, atMs: 2_000, durationMs: 1_768 },
    { kind: "restoreStore", target: 0, isLeader: false, atMs: 3_738, durationMs: 100 },
];

test("two VMs lead after the store has lost an election of the last 100 ms", () => {
    const violations = Array.from(
        { length: SEED_COUNT },
        (_, seed) => runWithFaults(new LeaseSimulation({ seed, lossRate: 0 }), SCHEDULE, HEAL_AT_MS, END_MS).check.violations,
    );
    expect(violations.flat()).toEqual([]);
});
