import { describe, expect, it } from "vitest";
import { ReplacementSimulation } from "./support/ReplacementSimulation.ts";

const FAULT_AT_MS = 5_000;
const END_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5];

interface Row {
    readonly name: string;
    readonly fault: (simulation: ReplacementSimulation) => void;
    /** Longest time from the fault until a new primary serves; undefined where the primary must not be replaced. */
    readonly maximumGapMs: number | undefined;
    readonly promotionCount: number | undefined;
}

const failPrimary = (simulation: ReplacementSimulation, condition: "refusing" | "unresponsive"): void => {
    simulation.findInstance("a").condition = condition;
    simulation.reportSuspicions();
};

// A failover may take 3 s while the store is up, and 8 s when something else fails at the same time.
const rows: readonly Row[] = [
    {
        name: "the primary's process has exited",
        fault: simulation => failPrimary(simulation, "refusing"),
        maximumGapMs: 3_000,
        promotionCount: 1,
    },
    {
        name: "the primary does not respond",
        fault: simulation => failPrimary(simulation, "unresponsive"),
        maximumGapMs: 3_000,
        promotionCount: 1,
    },
    {
        name: "a healthy primary is suspected",
        fault: simulation => simulation.reportSuspicions(),
        maximumGapMs: undefined,
        promotionCount: 0,
    },
    {
        name: "the VM that acts first is suspended",
        fault: simulation => {
            simulation.vms[0]!.isSuspended = true;
            simulation.at(FAULT_AT_MS + 4_000, () => simulation.resumeVm("vm-0"));
            failPrimary(simulation, "refusing");
        },
        maximumGapMs: 3_000,
        promotionCount: 1,
    },
    {
        name: "a VM is suspended while its promotion order is in flight",
        fault: simulation => {
            failPrimary(simulation, "refusing");
            simulation.at(FAULT_AT_MS + 300, () => simulation.vms[0]!.isSuspended = true);
            simulation.at(FAULT_AT_MS + 4_000, () => simulation.resumeVm("vm-0"));
        },
        maximumGapMs: 8_000,
        promotionCount: undefined,
    },
    {
        name: "the store is down, and the VM that holds the authority replaces the primary",
        fault: simulation => {
            simulation.isStoreDown = true;
            simulation.at(FAULT_AT_MS + 9_000, () => simulation.isStoreDown = false);
            failPrimary(simulation, "refusing");
        },
        maximumGapMs: 8_000,
        promotionCount: 1,
    },
    {
        name: "replies to claims are lost",
        fault: simulation => {
            simulation.lostClaimShare = 0.5;
            simulation.at(FAULT_AT_MS + 3_000, () => simulation.lostClaimShare = 0);
            failPrimary(simulation, "refusing");
        },
        maximumGapMs: 8_000,
        promotionCount: undefined,
    },
    {
        name: "promotion orders are lost and executed late",
        fault: simulation => {
            simulation.lostOrderShare = 0.5;
            simulation.lateOrderDelayMs = 4_000;
            simulation.at(FAULT_AT_MS + 6_000, () => simulation.lostOrderShare = 0);
            failPrimary(simulation, "refusing");
        },
        maximumGapMs: 8_000,
        promotionCount: undefined,
    },
    {
        name: "the store has lost the claim behind the last promotion when the next primary fails",
        fault: simulation => {
            failPrimary(simulation, "refusing");
            simulation.at(FAULT_AT_MS + 4_000, () => simulation.restoreStore());
            simulation.at(FAULT_AT_MS + 5_000, () => simulation.vms[0]!.isSuspended = true);
            simulation.at(FAULT_AT_MS + 5_100, () => {
                simulation.findInstance("a").condition = "up";
                simulation.findInstance(simulation.leaderId!).condition = "refusing";
                simulation.reportSuspicions();
            });
        },
        maximumGapMs: 3_000,
        promotionCount: 2,
    },
    {
        name: "half of the VMs cannot reach the primary",
        fault: simulation => {
            simulation.findInstance("a").unreachableVms.add("vm-1").add("vm-2");
            simulation.reportSuspicions();
        },
        maximumGapMs: 3_000,
        promotionCount: 1,
    },
    {
        name: "a planned change of the primary",
        fault: simulation => {
            simulation.findInstance("a").isDraining = true;
        },
        maximumGapMs: 3_000,
        promotionCount: 1,
    },
];

const runRow = (row: Row, seed: number): { readonly simulation: ReplacementSimulation; readonly gapMs: number; } => {
    const simulation = new ReplacementSimulation(seed);
    let servedAtMs = Infinity;
    for (let atMs = 0; atMs < END_MS; atMs += 10) {
        simulation.at(atMs, () => {
            simulation.commitWrite();
            const leader = simulation.servingLeader;
            if (atMs > FAULT_AT_MS && leader !== undefined && leader.id !== "a" && servedAtMs === Infinity) {
                servedAtMs = atMs;
            }
        });
    }
    simulation.at(FAULT_AT_MS, () => row.fault(simulation));
    simulation.run(END_MS);
    return { simulation, gapMs: servedAtMs - FAULT_AT_MS };
};

describe.each(rows)("$name", row => {
    it.each(SEEDS)("keeps the time limit, and each fence has one holder and one instance (seed %i)", seed => {
        const { simulation, gapMs } = runRow(row, seed);
        if (row.maximumGapMs === undefined) {
            expect(gapMs).toBe(Infinity);
        }
        else {
            expect(gapMs).toBeLessThanOrEqual(row.maximumGapMs);
        }
        if (row.promotionCount !== undefined) {
            expect(simulation.promotions).toHaveLength(row.promotionCount);
        }
        expect(simulation.sharedFences).toEqual([]);
    });
});

it("loses no commit in a planned change of the primary", () => {
    const { simulation } = runRow(rows.at(-1)!, SEEDS[0]!);
    expect(simulation.promotions.map(({ lostCommits }) => lostCommits)).toEqual([0]);
});
