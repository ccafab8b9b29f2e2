import { expect, it } from "vitest";
import { type FaultKind, injectors } from "./support/allowanceFaults.ts";
import { runFaults } from "./support/runFaults.ts";

/** The environment variables ALLOWANCE_RUNS and ALLOWANCE_SEED change the number of runs of each test and the first seed. */
const RUNS = Number(process.env["ALLOWANCE_RUNS"] ?? 4);
const FIRST_SEED = Number(process.env["ALLOWANCE_SEED"] ?? 1);
const TEST_LIMIT_MS = 3_600_000;
const DURATION_MS = 30_000;
const ALL_KINDS = Object.keys(injectors) as FaultKind[];
const FLEET_SIZES = [24, 12, 40, 73];

const runSeeds = async (smallTeamCount: number, kinds: readonly FaultKind[]): Promise<string[]> => {
    const excesses: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
        const vmCount = FLEET_SIZES[seed % FLEET_SIZES.length]!;
        excesses.push(...await runFaults({ seed, vmCount, smallTeamCount, kinds, durationMs: DURATION_MS }));
    }
    return excesses;
};

it("all VMs together grant more than the bound in some window, under any faults", async () => {
    expect(await runSeeds(12, ALL_KINDS)).toEqual([]);
}, TEST_LIMIT_MS);

it("all VMs together grant more than the bound while new VMs take seats over from VMs that are cut off", async () => {
    expect(await runSeeds(0, ["takeSeatsOver", "takeSeatsOver", "replaceSome", "delayStore", "kill", "stop"])).toEqual([]);
}, TEST_LIMIT_MS);
