import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { drawSchedule, HEAL_AT_MS, inject, type Injector, runToEnd, sharedInjectors } from "./support/replacementFaults.ts";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

/** The environment variables REPLACEMENT_RUNS and REPLACEMENT_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["REPLACEMENT_RUNS"] ?? 300);
const SEED = Number(process.env["REPLACEMENT_SEED"] ?? 1);
const FAULT_AT_MS = 5_000;
const TEST_LIMIT_MS = 3_600_000;

const create = (seed: number): ReplacementSimulation => new ReplacementSimulation(seed, 4, 0, ["a", "b", "c"], false);

const failPrimary = (simulation: ReplacementSimulation): void => {
    simulation.findInstance("a").condition = "refusing";
    simulation.reportSuspicions();
};

const cutOff = (simulation: ReplacementSimulation, name: string, untilMs: number): void => {
    simulation.vms.find(vm => vm.name === name)!.isCutOff = true;
    simulation.at(untilMs, () => simulation.reconnectVm(name));
};

const rows: readonly { readonly name: string; readonly fault: (simulation: ReplacementSimulation) => void; }[] = [
    {
        name: "the holder is cut off from the store before the primary fails",
        fault: simulation => {
            cutOff(simulation, "vm-0", FAULT_AT_MS + 5_500);
            simulation.at(FAULT_AT_MS + 1_000, () => failPrimary(simulation));
        },
    },
    ...[100, 250, 300, 350, 400, 600].map(delayMs => ({
        name: `the VM that acts first is suspended ${delayMs} ms after the failure of the primary`,
        fault: (simulation: ReplacementSimulation): void => {
            failPrimary(simulation);
            simulation.at(FAULT_AT_MS + delayMs, () => simulation.vms[0]!.isSuspended = true);
            simulation.at(FAULT_AT_MS + 8_000, () => simulation.resumeVm("vm-0"));
        },
    })),
    ...[100, 250, 300, 350, 400, 600].map(delayMs => ({
        name: `the VM that acts first is cut off from the store ${delayMs} ms after the failure of the primary`,
        fault: (simulation: ReplacementSimulation): void => {
            failPrimary(simulation);
            simulation.at(FAULT_AT_MS + delayMs, () => cutOff(simulation, "vm-0", FAULT_AT_MS + 8_000));
        },
    })),
    {
        name: "the primary leaves while its replicas are far behind",
        fault: simulation => {
            simulation.instances.slice(1).forEach(replica => {
                replica.receivedCommitCount = 10;
                replica.isCutFromPrimary = true;
            });
            simulation.findInstance("a").isDraining = true;
        },
    },
    {
        name: "orders get no answer, and all VMs but one are cut off in turn",
        fault: simulation => {
            simulation.lostOrderShare = 1;
            simulation.at(FAULT_AT_MS + 9_000, () => simulation.lostOrderShare = 0);
            simulation.vms.forEach(({ name }, index) =>
                simulation.at(FAULT_AT_MS + 1_000 * index, () => cutOff(simulation, name, FAULT_AT_MS + 1_000 * index + 5_000))
            );
            failPrimary(simulation);
        },
    },
];

describe.each(rows)("where the platform checks no fences and $name", ({ fault }) => {
    it.each([1, 2, 3])("no VM orders with a fence lower than another's (seed %i)", seed => {
        const simulation = create(seed);
        simulation.at(FAULT_AT_MS, () => fault(simulation));
        runToEnd(simulation);
        expect(simulation.staleOrders).toEqual([]);
        expect(simulation.servingLeader?.id).not.toBe("a");
        expect(simulation.servingLeader).toBeDefined();
    });
});

it("where the platform checks no fences, a leaving primary that has stepped down is not followed soon", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
        const simulation = create(seed);
        let longestGapMs = 0;
        let servedAtMs = FAULT_AT_MS;
        simulation.at(FAULT_AT_MS, () => {
            simulation.instances.slice(1).forEach(replica => {
                replica.receivedCommitCount = 10;
                replica.isCutFromPrimary = true;
            });
            simulation.findInstance("a").isDraining = true;
        });
        for (let atMs = FAULT_AT_MS; atMs < HEAL_AT_MS; atMs += 10) {
            simulation.at(atMs, () => {
                servedAtMs = simulation.servingLeader === undefined ? servedAtMs : atMs;
                longestGapMs = Math.max(longestGapMs, atMs - servedAtMs);
            });
        }
        runToEnd(simulation);
        // A promotion takes 1 s.
        expect(longestGapMs).toBeLessThan(2_000);
        expect(simulation.servingLeader?.id).not.toBe("a");
    }
});

const injectors = {
    ...sharedInjectors,
    cutOffVm: (simulation, { target, atMs, durationMs }) =>
        cutOff(simulation, simulation.vms[target % simulation.vms.length]!.name, atMs + durationMs),
} satisfies Readonly<Record<string, Injector>>;

const schedules = drawSchedule(fc.constantFrom(...Object.keys(injectors) as (keyof typeof injectors)[]));

it("where the platform checks no fences, a VM orders with a lower fence, or no primary serves after the faults have ended", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), schedules, (seed, schedule) => {
            const simulation = create(seed);
            inject(simulation, injectors, schedule);
            runToEnd(simulation);
            expect(simulation.staleOrders).toEqual([]);
            expect(simulation.servingLeader).toBeDefined();
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
}, TEST_LIMIT_MS);
