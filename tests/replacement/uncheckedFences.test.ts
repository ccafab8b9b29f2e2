import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

/** The environment variables REPLACEMENT_RUNS and REPLACEMENT_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["REPLACEMENT_RUNS"] ?? 300);
const SEED = Number(process.env["REPLACEMENT_SEED"] ?? 1);
const FAULT_AT_MS = 5_000;
const HEAL_AT_MS = 20_000;
const END_MS = 40_000;
const COMMIT_INTERVAL_MS = 20;
const TEST_LIMIT_MS = 3_600_000;

const create = (seed: number): ReplacementSimulation => new ReplacementSimulation(seed, 4, 0, ["a", "b", "c"], false);

const run = (simulation: ReplacementSimulation): void => {
    for (let atMs = 0; atMs < END_MS; atMs += COMMIT_INTERVAL_MS) {
        simulation.at(atMs, () => {
            simulation.commitWrite();
            if (simulation.servingLeader === undefined && atMs % 100 === 0) {
                simulation.reportSuspicions();
            }
        });
    }
    simulation.run(END_MS);
};

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
        run(simulation);
        expect(simulation.staleOrders).toEqual([]);
        expect(simulation.servingLeader?.id).not.toBe("a");
        expect(simulation.servingLeader).toBeDefined();
    });
});

interface Fault {
    readonly kind: keyof typeof injectors;
    readonly target: number;
    readonly atMs: number;
    readonly durationMs: number;
}

type Injector = (simulation: ReplacementSimulation, fault: Fault) => void;

const injectors = {
    failPrimary: (simulation, { atMs, durationMs }) => {
        const primary = simulation.servingLeader;
        if (primary !== undefined) {
            primary.condition = durationMs % 2 === 0 ? "refusing" : "unresponsive";
            simulation.at(atMs + durationMs, () => primary.condition = "up");
        }
    },
    cutOffVm: (simulation, { target, atMs, durationMs }) =>
        cutOff(simulation, simulation.vms[target % simulation.vms.length]!.name, atMs + durationMs),
    suspendVm: (simulation, { target, atMs, durationMs }) => {
        const vm = simulation.vms[target % simulation.vms.length]!;
        vm.isSuspended = true;
        simulation.at(atMs + durationMs, () => simulation.resumeVm(vm.name));
    },
    storeDown: (simulation, { atMs, durationMs }) => {
        simulation.isStoreDown = true;
        simulation.at(atMs + durationMs, () => simulation.isStoreDown = false);
    },
    loseClaims: (simulation, { atMs, durationMs }) => {
        simulation.lostClaimShare = 0.6;
        simulation.at(atMs + durationMs, () => simulation.lostClaimShare = 0);
    },
    loseOrders: (simulation, { atMs, durationMs }) => {
        simulation.lostOrderShare = 0.6;
        simulation.at(atMs + durationMs, () => simulation.lostOrderShare = 0);
    },
    drainPrimary: (simulation, { atMs, durationMs }) => {
        const primary = simulation.servingLeader;
        if (primary !== undefined) {
            primary.isDraining = true;
            simulation.at(atMs + durationMs, () => primary.isDraining = false);
        }
    },
} satisfies Readonly<Record<string, Injector>>;

const KINDS = Object.keys(injectors) as Fault["kind"][];
const schedules = fc.array(
    fc.record<Fault>({
        kind: fc.constantFrom(...KINDS),
        target: fc.nat(3),
        atMs: fc.integer({ min: 4_000, max: HEAL_AT_MS - 6_000 }),
        durationMs: fc.integer({ min: 50, max: 6_000 }),
    }),
    { minLength: 2, maxLength: 8 },
);

it("where the platform checks no fences, a VM orders with a lower fence, or no primary serves after the faults have ended", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), schedules, (seed, schedule) => {
            const simulation = create(seed);
            for (const fault of schedule) {
                simulation.at(fault.atMs, () => (injectors[fault.kind])(simulation, fault));
            }
            run(simulation);
            expect(simulation.staleOrders).toEqual([]);
            expect(simulation.servingLeader).toBeDefined();
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
}, TEST_LIMIT_MS);
