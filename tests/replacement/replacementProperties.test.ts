import fc from "fast-check";
import { expect, it } from "vitest";
import { drawSchedule, END_MS, inject, type Injector, sharedInjectors } from "./support/replacementFaults.ts";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

/** The environment variables REPLACEMENT_RUNS and REPLACEMENT_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["REPLACEMENT_RUNS"] ?? 300);
const SEED = Number(process.env["REPLACEMENT_SEED"] ?? 1);
const COMMIT_INTERVAL_MS = 50;
const TEST_LIMIT_MS = 3_600_000;

const { failPrimary, suspendVm, storeDown, loseClaims, loseOrders, drainPrimary } = sharedInjectors;
const injectors = {
    failPrimary,
    suspendVm,
    storeDown,
    restoreStore: (simulation, { target, durationMs }) => simulation.restoreStore(index => ((index + target) % 4) * durationMs / 2),
    loseClaims,
    loseOrders,
    drainPrimary,
} satisfies Readonly<Record<string, Injector>>;

const KINDS = Object.keys(injectors) as (keyof typeof injectors)[];
const schedules = drawSchedule(fc.oneof({ arbitrary: fc.constantFrom(...KINDS), weight: 2 }, {
    arbitrary: fc.constant<keyof typeof injectors>("restoreStore"),
    weight: 1,
}));

it("two VMs share a fence, a late order undoes another one, or no primary serves after the faults have ended", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), schedules, (seed, schedule) => {
            const simulation = new ReplacementSimulation(seed);
            inject(simulation, injectors, schedule);
            for (let atMs = 0; atMs < END_MS; atMs += COMMIT_INTERVAL_MS) {
                simulation.at(atMs, () => {
                    simulation.commitWrite();
                    if (simulation.servingLeader === undefined) {
                        simulation.reportSuspicions();
                    }
                });
            }
            simulation.run(END_MS);
            expect(simulation.unsafeFences).toEqual([]);
            expect(simulation.servingLeader).toBeDefined();
        }),
        { numRuns: RUNS, seed: SEED },
    );
}, TEST_LIMIT_MS);
