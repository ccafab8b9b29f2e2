import fc from "fast-check";
import { expect, test } from "vitest";
import { END_MS, faultSchedules, HEAL_AT_MS } from "./support/faultArbitrary.ts";
import { runWithFaults } from "./support/faults.ts";
import { LeaseSimulation } from "./support/LeaseSimulation.ts";

/** The environment variables LEASE_RUNS and LEASE_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["LEASE_RUNS"] ?? 300);
const SEED = Number(process.env["LEASE_SEED"] ?? 1);

/** A planned transfer of leadership may be in progress when the run ends. */
const PLANNED_CHANGE_LIMIT_MS = 1_000;

test("random faults cause neither two leaders nor an unreported lost write, and writes are acknowledged again after they end", () => {
    fc.assert(
        fc.property(faultSchedules, ({ seed, lossRate, schedule }) => {
            const simulation = runWithFaults(new LeaseSimulation({ seed, lossRate }), schedule, HEAL_AT_MS, END_MS);
            expect(simulation.check.violations).toEqual([]);
            expect(END_MS - simulation.check.acknowledgements.at(-1)!.atMs).toBeLessThan(PLANNED_CHANGE_LIMIT_MS);
        }),
        { numRuns: RUNS, seed: SEED },
    );
}, 3_600_000);
