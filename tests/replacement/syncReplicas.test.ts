import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { drawSchedule, HEAL_AT_MS, inject, type Injector, runToEnd, sharedInjectors } from "./support/replacementFaults.ts";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

/** The environment variables REPLACEMENT_RUNS and REPLACEMENT_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["REPLACEMENT_RUNS"] ?? 300);
const SEED = Number(process.env["REPLACEMENT_SEED"] ?? 1);
const FAULT_AT_MS = 5_000;
const TEST_LIMIT_MS = 3_600_000;

const INSTANCE_IDS = ["a", "b", "c", "d"];

interface Row {
    readonly name: string;
    readonly syncReplicas: number;
    readonly fault: (simulation: ReplacementSimulation) => void;
    /** Longest time until another instance leads; undefined where none has to. */
    readonly maximumGapMs: number | undefined;
}

const failPrimary = (simulation: ReplacementSimulation): void => {
    simulation.findInstance("a").condition = "refusing";
    simulation.reportSuspicions();
};

const hideReplica = (simulation: ReplacementSimulation, id: string, untilMs: number): void => {
    const { unreachableVms } = simulation.findInstance(id);
    simulation.vms.forEach(({ name }) => unreachableVms.add(name));
    simulation.at(untilMs, () => unreachableVms.clear());
};

const rows: readonly Row[] = [
    {
        name: "a replica that drains has every commit and the other one is behind",
        syncReplicas: 1,
        fault: simulation => {
            simulation.findInstance("b").isDraining = true;
            simulation.findInstance("c").isCutFromPrimary = true;
            simulation.at(FAULT_AT_MS + 1_000, () => failPrimary(simulation));
        },
        maximumGapMs: 4_000,
    },
    {
        name: "the replica that has every commit does not answer surveys at first",
        syncReplicas: 1,
        fault: simulation => {
            simulation.findInstance("c").isCutFromPrimary = true;
            simulation.at(FAULT_AT_MS + 1_000, () => {
                hideReplica(simulation, "b", FAULT_AT_MS + 3_000);
                failPrimary(simulation);
            });
        },
        maximumGapMs: 6_000,
    },
    {
        name: "the primary is out of reach of the VM that acts, and acknowledges on",
        syncReplicas: 1,
        fault: simulation => {
            simulation.findInstance("a").unreachableVms.add("vm-0").add("vm-1");
            simulation.reportSuspicions();
        },
        maximumGapMs: 4_000,
    },
    {
        name: "the primary leaves while one of its replicas is behind",
        syncReplicas: 1,
        fault: simulation => {
            simulation.findInstance("b").isCutFromPrimary = true;
            simulation.findInstance("a").isDraining = true;
            simulation.at(HEAL_AT_MS, () => simulation.findInstance("b").isCutFromPrimary = false);
        },
        maximumGapMs: 4_000,
    },
    {
        name: "two replicas have to receive, and one of three is behind",
        syncReplicas: 2,
        fault: simulation => {
            simulation.findInstance("c").isCutFromPrimary = true;
            simulation.at(FAULT_AT_MS + 1_000, () => failPrimary(simulation));
        },
        maximumGapMs: 4_000,
    },
];

describe.each(rows)("$name", ({ syncReplicas, fault, maximumGapMs }) => {
    it.each([1, 2, 3, 4, 5])("keeps each commit that replicas had to receive (seed %i)", seed => {
        const ids = syncReplicas === 1 ? INSTANCE_IDS.slice(0, 3) : INSTANCE_IDS;
        const simulation = new ReplacementSimulation(seed, 4, syncReplicas, ids);
        simulation.at(FAULT_AT_MS, () => fault(simulation));
        runToEnd(simulation);
        expect(simulation.lostAcknowledgedCount).toBe(0);
        expect(simulation.promotions.length).toBeGreaterThan(0);
        expect(simulation.promotions[0]!.atMs).toBeLessThanOrEqual(FAULT_AT_MS + 1_000 + (maximumGapMs ?? Infinity));
        expect(simulation.sharedFences).toEqual([]);
    });
});

const injectors = {
    failPrimary: sharedInjectors.failPrimary,
    storeDown: sharedInjectors.storeDown,
    loseClaims: sharedInjectors.loseClaims,
    failInstance: (simulation, { target, atMs, durationMs }) => {
        const instance = simulation.instances[target % simulation.instances.length]!;
        instance.condition = durationMs % 2 === 0 ? "refusing" : "unresponsive";
        simulation.at(atMs + durationMs, () => instance.condition = "up");
    },
    hidePrimary: (simulation, { target, atMs, durationMs }) => {
        const primary = simulation.servingLeader;
        const vms = simulation.vms.filter((_each, index) => (index + target) % 2 === 0);
        vms.forEach(({ name }) => primary?.unreachableVms.add(name));
        simulation.reportSuspicions();
        simulation.at(atMs + durationMs, () => primary?.unreachableVms.clear());
    },
    hideInstance: (simulation, { target, atMs, durationMs }) =>
        hideReplica(simulation, simulation.instances[target % simulation.instances.length]!.id, atMs + durationMs),
    cutReplicaFromPrimary: (simulation, { target, atMs, durationMs }) => {
        const instance = simulation.instances[target % simulation.instances.length]!;
        instance.isCutFromPrimary = true;
        simulation.at(atMs + durationMs, () => instance.isCutFromPrimary = false);
    },
    drainInstance: (simulation, { target, atMs, durationMs }) => {
        const instance = simulation.instances[target % simulation.instances.length]!;
        instance.isDraining = true;
        simulation.at(atMs + durationMs, () => instance.isDraining = false);
    },
} satisfies Readonly<Record<string, Injector>>;

const schedules = drawSchedule(fc.constantFrom(...Object.keys(injectors) as (keyof typeof injectors)[]));

it("loses a commit that replicas had to receive, or has no primary after the faults have ended", () => {
    const sizes = fc.constantFrom<readonly [syncReplicas: number, instanceCount: number]>([1, 2], [1, 3], [1, 4], [2, 3], [2, 4]);
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), sizes, schedules, (seed, [syncReplicas, instanceCount], schedule) => {
            const simulation = new ReplacementSimulation(seed, 4, syncReplicas, INSTANCE_IDS.slice(0, instanceCount));
            inject(simulation, injectors, schedule);
            runToEnd(simulation);
            expect(simulation.lostAcknowledgedCount).toBe(0);
            expect(simulation.unsafeFences).toEqual([]);
            expect(simulation.servingLeader).toBeDefined();
            expect(simulation.instances.filter(({ heldTerm }) => heldTerm > simulation.term)).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
}, TEST_LIMIT_MS);
