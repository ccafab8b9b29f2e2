import { expect, test } from "vitest";
import { END_MS, HEAL_AT_MS } from "./support/faultArbitrary.ts";
import { type Fault, runWithFaults } from "./support/faults.ts";
import { LeaseSimulation } from "./support/LeaseSimulation.ts";

const SEED_COUNT = 20;

/** The store loses the election of a new holder before the other candidate has heard of it. */
const UNHEARD_BY_CANDIDATE: readonly Fault[] = [
    { kind: "isolateHolderWithPrimary", target: 0, isLeader: false, atMs: 2_000, durationMs: 1_768 },
    { kind: "restoreStore", target: 0, isLeader: false, atMs: 3_738, durationMs: 100 },
];

/** The store loses the election of a new holder, and the row that the new holder sends reaches the old one seconds later. */
const UNHEARD_BY_FORMER_HOLDER: readonly Fault[] = [
    { kind: "pauseVm", target: 0, isLeader: false, atMs: 2_621, durationMs: 4_296 },
    { kind: "restoreStore", target: 0, isLeader: false, atMs: 4_641, durationMs: 100 },
    { kind: "pauseVm", target: 0, isLeader: false, atMs: 4_676, durationMs: 100 },
];

/** The holder is cut off and releases its lease. It returns after the store has lost the election of its successor. */
const UNHEARD_AFTER_RELEASE: readonly Fault[] = [
    { kind: "isolateVm", target: 0, isLeader: false, atMs: 3_385, durationMs: 2_427 },
    { kind: "restoreStore", target: 0, isLeader: false, atMs: 5_588, durationMs: 100 },
];

/** The store loses a promotion, and all controllers, which know of it, restart before they have written it again. */
const UNKNOWN_TO_ALL: readonly Fault[] = [
    { kind: "pauseVm", target: 0, isLeader: false, atMs: 2_462, durationMs: 2_100 },
    { kind: "isolateHolderWithPrimary", target: 0, isLeader: false, atMs: 2_465, durationMs: 1_124 },
    { kind: "restoreStore", target: 0, isLeader: false, atMs: 4_541, durationMs: 100 },
    { kind: "restartAllControllers", target: 0, isLeader: false, atMs: 4_723, durationMs: 100 },
];

const findViolations = (schedule: readonly Fault[]): string[] =>
    Array.from(
        { length: SEED_COUNT },
        (_, seed) => runWithFaults(new LeaseSimulation({ seed, lossRate: 0 }), schedule, HEAL_AT_MS, END_MS).check.violations,
    ).flat();

test("two VMs lead after the store has lost an election of the last 100 ms", () => {
    expect(findViolations(UNHEARD_BY_CANDIDATE)).toEqual([]);
});

test("the former holder leads again after the store has lost the election of its successor", () => {
    expect(findViolations(UNHEARD_BY_FORMER_HOLDER)).toEqual([]);
});

test("a holder that has released its lease leads again after the store has lost the election of its successor", () => {
    expect(findViolations(UNHEARD_AFTER_RELEASE)).toEqual([]);
});

test("a former term leads after the store and all controllers have lost a promotion", () => {
    expect(findViolations(UNKNOWN_TO_ALL)).toEqual([]);
});
