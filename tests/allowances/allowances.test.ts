import { chooseSeatHolders } from "@pomeloturn/allowance-link/chooseSeatHolders";
import { hashText } from "@pomeloturn/membership/hash";
import { describe, expect, it } from "vitest";
import { createTeams, type FaultKind, injectors } from "./support/allowanceFaults.ts";
import { AllowanceSimulation, type SimulatedTeam } from "./support/AllowanceSimulation.ts";
import { runFaults } from "./support/runFaults.ts";

const TEST_LIMIT_MS = 300_000;
/** Time in which a fleet that starts fills its buckets. */
const WARM_UP_MS = 3_000;
const FLOOD = 5;

const createTeam = (name: string, operationsPerS: number, demandPerS: number): SimulatedTeam => ({
    name,
    operationsPerS,
    burstOperations: operationsPerS,
    demandPerS,
});

const listHolders = (simulation: AllowanceSimulation, team: string): string[] =>
    chooseSeatHolders(hashText(team), simulation.listRegistered().map(({ vm, region }) => ({ vm, region, hash: hashText(vm) })))
        .map(({ holder }) => holder!.vm);

/** Adds VMs until the first seat of a team has another holder. */
const replaceFirstHolder = (simulation: AllowanceSimulation, team: string, prefix: string): string => {
    const [former] = listHolders(simulation, team);
    const members = simulation.listRegistered().map(({ vm, region }) => ({ vm, region, hash: hashText(vm) }));
    for (let index = 0;; index++) {
        const vm = `${prefix}-${index}`;
        const [first] = chooseSeatHolders(hashText(team), [...members, { vm, region: "east", hash: hashText(vm) }]);
        if (first!.holder!.vm === vm) {
            simulation.addVm(vm, "east");
            return former!;
        }
    }
};

describe("in calm, with all VMs up and one list", () => {
    it.each([12, 73])("%i VMs refuse a team below its limits, or grant a flooding team less than 0.95 of its rate", async vmCount => {
        const teams = [
            createTeam("large", 180, 0.9 * 180),
            createTeam("small", 3, 2),
            createTeam("flooding", 60, FLOOD * 60),
            createTeam("small-flooding", 3, FLOOD * 3),
        ];
        const simulation = new AllowanceSimulation(1, teams);
        simulation.startFleet(vmCount);
        await simulation.run(WARM_UP_MS);
        const refusedBefore = ["large", "small"].map(team => simulation.results.get(team)!.refused);
        await simulation.run(WARM_UP_MS + 20_000);
        expect(["large", "small"].map(team => simulation.results.get(team)!.refused)).toEqual(refusedBefore);
        expect(simulation.check.countGrants("flooding", WARM_UP_MS, WARM_UP_MS + 20_000)).toBeGreaterThan(0.95 * 60 * 20);
        expect(simulation.check.countGrants("small-flooding", WARM_UP_MS, WARM_UP_MS + 20_000)).toBeGreaterThan(0.95 * 3 * 20);
        expect(simulation.check.findExcesses()).toEqual([]);
    }, TEST_LIMIT_MS);
});

describe("the bound", () => {
    it("is exceeded when all clocks run 1% too fast", async () => {
        const simulation = new AllowanceSimulation(1, [createTeam("team-0", 180, 8 * 180)], () => 0.01);
        simulation.startFleet(24);
        await simulation.run(20_000);
        expect(simulation.check.findExcesses()).toEqual([]);
    }, TEST_LIMIT_MS);

    it("is exceeded when a former holder is cut off from the new one and the store, but not from half of the VMs", async () => {
        const simulation = new AllowanceSimulation(1, [createTeam("team-0", 180, FLOOD * 180)], () => 0);
        simulation.startFleet(24);
        await simulation.run(6_000);
        const former = replaceFirstHolder(simulation, "team-0", "new");
        simulation.vms.forEach(vm => {
            const hasOldList = vm.name.startsWith("vm-") && Number(vm.name.slice("vm-".length)) % 4 < 2;
            vm.storeCutUntilMs = vm.name === former || hasOldList ? 18_000 : 0;
        });
        simulation.network.cut(12_000, (from, to) => [from, to].includes(former) && [from, to].some(name => name.startsWith("new")));
        await simulation.run(30_000);
        expect(simulation.check.findExcesses()).toEqual([]);
    }, TEST_LIMIT_MS);

    it("is exceeded when two new VMs precede a former holder that is cut off", async () => {
        const simulation = new AllowanceSimulation(1, [createTeam("team-0", 180, FLOOD * 180)], () => 0);
        simulation.startFleet(24);
        await simulation.run(6_000);
        const former = replaceFirstHolder(simulation, "team-0", "new");
        simulation.vms.get(former)!.storeCutUntilMs = 18_000;
        simulation.network.cut(12_000, (from, to) => [from, to].includes(former) && [from, to].some(name => name.startsWith("new")));
        await simulation.run(8_000);
        replaceFirstHolder(simulation, "team-0", "newer");
        await simulation.run(30_000);
        expect(simulation.check.findExcesses()).toEqual([]);
    }, TEST_LIMIT_MS);

    /** Runs that exceeded the bound: of a VM that takes over from one that never held the seat, and from a listed holder. */
    const seatKinds: FaultKind[] = ["takeSeatsOver", "takeSeatsOver", "replaceSome", "delayStore", "kill", "stop"];
    it.each([[8, seatKinds], [11, ["takeSeatsOver"] satisfies FaultKind[]]])("is exceeded in the run of seed %i", async (seed, kinds) => {
        expect(await runFaults({ seed, vmCount: 24, smallTeamCount: 0, kinds, durationMs: 30_000 })).toEqual([]);
    }, TEST_LIMIT_MS);

    it("is exceeded in the run of seed 37, with 12 VMs", async () => {
        expect(await runFaults({ seed: 37, vmCount: 12, smallTeamCount: 0, kinds: seatKinds, durationMs: 30_000 })).toEqual([]);
    }, TEST_LIMIT_MS);
});

it.each(["killMost", "killAll", "partitionThird"] as const)(
    "%s: a team at its usual rate is still refused more than a tenth of its operations 20 s later",
    async kind => {
        const teams = createTeams(2, 4);
        const simulation = new AllowanceSimulation(3, teams);
        simulation.startFleet(24);
        await simulation.run(5_000);
        injectors[kind](simulation);
        await simulation.run(25_000);
        const before = { ...simulation.results.get("team-0")! };
        await simulation.run(35_000);
        const { asked, granted } = simulation.results.get("team-0")!;
        expect(granted - before.granted).toBeGreaterThan(0.9 * (asked - before.asked));
    },
    TEST_LIMIT_MS,
);
