import fc from "fast-check";
import { expect, test } from "vitest";
import { END_MS, faultLists, HEAL_AT_MS } from "./support/faultArbitrary.ts";
import { runFaults } from "./support/faults.ts";
import { LeaseSimulation } from "./support/LeaseSimulation.ts";

/** LEASE_RUNS and LEASE_SEED make a longer run. */
const RUNS = Number(process.env["LEASE_RUNS"] ?? 300);
const SEED = Number(process.env["LEASE_SEED"] ?? 1);

/** Leadership may be moving by plan when the run ends. */
const PLANNED_LIMIT_MS = 1_000;

test("one leader and no silent loss under random faults, and acknowledged writes again once they have ended", () => {
    fc.assert(
        fc.property(faultLists, ({ seed, lossRate, list }) => {
            const simulation = runFaults(new LeaseSimulation({ seed, lossRate }), list, HEAL_AT_MS, END_MS);
            expect(simulation.check.violations).toEqual([]);
            expect(END_MS - simulation.check.acknowledgements.at(-1)!.atMs).toBeLessThan(PLANNED_LIMIT_MS);
        }),
        { numRuns: RUNS, seed: SEED },
    );
}, 3_600_000);
