import fc from "fast-check";
import { expect, it } from "vitest";
import { END_MS, runToEnd } from "./support/replacementFaults.ts";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

/** The environment variables REPLACEMENT_RUNS and REPLACEMENT_SEED change the number of runs and the seed. */
const RUNS = Number(process.env["REPLACEMENT_RUNS"] ?? 300);
const SEED = Number(process.env["REPLACEMENT_SEED"] ?? 1);
const TEST_LIMIT_MS = 3_600_000;

const INSTANCE_IDS = ["a", "b", "c"];
const VM_COUNT = 3;
const DOWN_AT_MS = 5_000;
const RETURN_AT_MS = 10_000;
/** Entries of instances that are alive are back within this time after the store's return. */
const STATED_RETURN_MS = 2_000;
/** Time after the last start or return of anything until the service is served again. */
const RECOVERY_MS = 12_000;

/** An outage of the store in which the entries of all instances expire, and what happens around it. Times are in milliseconds. */
interface Outage {
    /** When each instance is listed again, after the store's return. */
    readonly listedAfterMs: readonly number[];
    /** When each VM starts, relative to the store's return; undefined for one that runs on. */
    readonly startsAfterMs: readonly (number | undefined)[];
    /** When the primary ends for good; undefined if it lives. */
    readonly failsAtMs: number | undefined;
    /** Replica that receives nothing from `DOWN_AT_MS` on. */
    readonly cutReplica: "b" | "c";
    /** How long the store is down again after its return, and when that begins; a duration of 0 means that it is not. */
    readonly secondOutage: { readonly atMs: number; readonly durationMs: number; };
}

const runOutage = (seed: number, { listedAfterMs, startsAfterMs, failsAtMs, cutReplica, secondOutage }: Outage): ReplacementSimulation => {
    const simulation = new ReplacementSimulation(seed, VM_COUNT, 1, INSTANCE_IDS);
    simulation.at(DOWN_AT_MS, () => {
        simulation.isStoreDown = true;
        simulation.findInstance(cutReplica).isCutFromPrimary = true;
    });
    simulation.at(RETURN_AT_MS - 1, () => simulation.instances.forEach(instance => instance.isListed = false));
    simulation.at(RETURN_AT_MS, () => simulation.isStoreDown = false);
    simulation.at(RETURN_AT_MS + secondOutage.atMs, () => simulation.isStoreDown = secondOutage.durationMs > 0);
    const returnAtMs = RETURN_AT_MS + (secondOutage.durationMs === 0 ? 0 : secondOutage.atMs + secondOutage.durationMs);
    simulation.at(returnAtMs, () => simulation.isStoreDown = false);
    startsAfterMs.forEach((afterMs, index) => {
        if (afterMs !== undefined) {
            simulation.at(RETURN_AT_MS - 1_500, () => simulation.killVm(index));
            simulation.at(RETURN_AT_MS + afterMs, () => simulation.startVm(index));
        }
    });
    if (failsAtMs !== undefined) {
        simulation.at(failsAtMs, () => simulation.findInstance("a").condition = "refusing");
    }
    INSTANCE_IDS.forEach((id, index) => {
        const afterMs = listedAfterMs[index]!;
        // An entry that is due during the second outage is written after it.
        const listedAtMs = RETURN_AT_MS + afterMs < RETURN_AT_MS + secondOutage.atMs ? RETURN_AT_MS + afterMs : returnAtMs + afterMs;
        simulation.at(listedAtMs, () => {
            const instance = simulation.findInstance(id);
            instance.isListed = instance.condition === "up";
        });
    });
    runToEnd(simulation);
    return simulation;
};

const PLAIN_OUTAGE: Outage = {
    listedAfterMs: [1_900, 1_800, 100],
    startsAfterMs: [0, 0, 0],
    failsAtMs: undefined,
    cutReplica: "c",
    secondOutage: { atMs: 0, durationMs: 0 },
};

it.each<[what: string, outage: Partial<Outage>, leaders: readonly string[]]>([
    ["while the others are not listed yet", {}, []],
    ["while the one that has every commit is not listed yet and the primary has failed", { failsAtMs: 9_000 }, ["b"]],
    [
        "whose listing was read before another outage, in which the time for the others' return went by",
        { listedAfterMs: [1_900, 1_800, 10], secondOutage: { atMs: 700, durationMs: 5_000 } },
        [],
    ],
])("VMs that have started after an outage of the store promote a replica %s", (_what, outage, leaders) => {
    const simulation = runOutage(1, { ...PLAIN_OUTAGE, ...outage });
    expect(simulation.promotions.map(({ id }) => id)).toEqual(leaders);
    expect(simulation.lostAcknowledgedCount).toBe(0);
});

it("the only replica that is left after an outage of the store is not promoted in time", () => {
    const simulation = runOutage(1, { ...PLAIN_OUTAGE, failsAtMs: 9_000, listedAfterMs: [1_900, END_MS, 100], cutReplica: "b" });
    expect(simulation.promotions.map(({ id }) => id)).toEqual(["c"]);
    expect(simulation.promotions[0]!.atMs).toBeLessThan(RETURN_AT_MS + RECOVERY_MS);
});

it("an order of starts and returns after an outage of the store loses commits that replicas had to receive, or leaves no primary", () => {
    const listedAfterMs = fc.array(fc.integer({ min: 0, max: STATED_RETURN_MS }), { minLength: 3, maxLength: 3 });
    const startsAfterMs = fc.array(fc.option(fc.integer({ min: -1_000, max: 4_000 }), { nil: undefined }), {
        minLength: VM_COUNT,
        maxLength: VM_COUNT,
    });
    const outages: fc.Arbitrary<Outage> = fc.record({
        listedAfterMs,
        startsAfterMs,
        failsAtMs: fc.option(fc.integer({ min: DOWN_AT_MS, max: RETURN_AT_MS + 5_000 }), { nil: undefined }),
        cutReplica: fc.constantFrom("b", "c"),
        secondOutage: fc.record({ atMs: fc.integer({ min: 1, max: 4_000 }), durationMs: fc.constantFrom(0, 0, 1_500, 6_000) }),
    });
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), outages, (seed, outage) => {
            const simulation = runOutage(seed, outage);
            expect(simulation.lostAcknowledgedCount).toBe(0);
            expect(simulation.servingLeader).toBeDefined();
            expect(simulation.unsafeFences).toEqual([]);
            expect(simulation.instances.filter(({ heldTerm }) => heldTerm > simulation.term)).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
}, TEST_LIMIT_MS);
