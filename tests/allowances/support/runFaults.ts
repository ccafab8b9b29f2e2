import { createTeams, type FaultKind, injectRandomFaults } from "./allowanceFaults.ts";
import { AllowanceSimulation } from "./AllowanceSimulation.ts";

const LARGE_TEAM_COUNT = 3;
const FAULT_INTERVAL_MS = 1_500;
const MINIMUM_FLOOD = 4;
const FLOOD_RANGE = 5;

/** A run of the model with random faults. */
export interface FaultRun {
    readonly seed: number;
    readonly vmCount: number;
    readonly smallTeamCount: number;
    readonly kinds: readonly FaultKind[];
    readonly durationMs: number;
}

/**
 * Runs the model with random faults. Two of three teams ask 4 to 8 times their usual rate all the time, so that each operation
 * that may be granted beyond the bound is.
 *
 * @returns the worst window of each team that exceeded the bound, with the faults
 */
export const runFaults = async ({ seed, vmCount, smallTeamCount, kinds, durationMs }: FaultRun): Promise<string[]> => {
    const teams = createTeams(LARGE_TEAM_COUNT, smallTeamCount);
    const simulation = new AllowanceSimulation(seed, teams);
    teams.forEach((team, index) => {
        team.demandPerS *= index % LARGE_TEAM_COUNT === 2 ? 1 : MINIMUM_FLOOD + seed % FLOOD_RANGE;
    });
    simulation.startFleet(vmCount);
    const faults: string[] = [];
    injectRandomFaults(simulation, kinds, FAULT_INTERVAL_MS, durationMs, (kind, atMs) => faults.push(`${kind} at ${Math.round(atMs)}`));
    await simulation.run(durationMs);
    return simulation.check.findExcesses().map(({ team, endMs, granted, allowed }) => {
        const granters = [...simulation.check.countByVm(team, endMs)].map(([vm, count]) => `${vm}: ${count}`).join(", ");
        return `seed ${seed}: ${team} ran ${granted} of ${allowed} until ${endMs} (${granters}); ${faults.join(", ")}`;
    });
};
