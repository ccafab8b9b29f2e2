import type { TeamEntry } from "@pomeloturn/types/Teams";
import { BOUNDS } from "./SimulatedVm.ts";

const WINDOW_MS = BOUNDS.windowS * 1_000;

/** A limit and the time in which some VM uses it. */
export interface LimitChange {
    readonly entry: TeamEntry;
    readonly sinceMs: number;
    untilMs: number;
}

/** A window in which more operations were granted than the bounds accept. */
export interface Excess {
    readonly team: string;
    readonly endMs: number;
    readonly granted: number;
    readonly allowed: number;
}

const computeAllowed = ({ operationsPerS, burstOperations }: TeamEntry): number =>
    (operationsPerS * BOUNDS.windowS + burstOperations) * (1 + BOUNDS.overageShare) + BOUNDS.slackOperations;

/**
 * Checks the number of operations that all VMs grant to each team in every window. It counts the moment at which a holder
 * grants, which lies between the caller's request and the arrival at an instance: no less than the invariant counts.
 */
export class WindowCheck {
    private readonly grants = new Map<string, number[]>();
    private readonly granters = new Map<string, string[]>();
    private readonly limits: LimitChange[] = [];

    recordGrant(team: string, atMs: number, vm: string): void {
        const times = this.grants.get(team);
        if (times === undefined) {
            this.grants.set(team, [atMs]);
            this.granters.set(team, [vm]);
        }
        else {
            times.push(atMs);
            this.granters.get(team)!.push(vm);
        }
    }

    addLimit(change: LimitChange): void {
        this.limits.push(change);
    }

    /** Ends earlier limits of the same team. */
    endLimitsBefore(change: LimitChange, atMs: number): void {
        const earlier = this.limits.slice(0, this.limits.indexOf(change)).filter(({ entry }) => entry.name === change.entry.name);
        earlier.forEach(each => {
            each.untilMs = Math.min(each.untilMs, atMs);
        });
    }

    /** @returns the worst window of each team that exceeds the bound */
    findExcesses(): Excess[] {
        return [...this.grants.keys()].flatMap(team => {
            const excess = this.findWorst(team);
            return excess !== undefined && excess.granted > excess.allowed ? [excess] : [];
        });
    }

    /** Window with the largest share of its bound. */
    findWorst(team: string): Excess | undefined {
        const times = this.grants.get(team) ?? [];
        const limits = this.limits.filter(({ entry }) => entry.name === team);
        let worst: Excess | undefined;
        let first = 0;
        times.forEach((endMs, index) => {
            while (endMs - times[first]! > WINDOW_MS) {
                first++;
            }
            const used = limits.filter(({ sinceMs, untilMs }) => sinceMs <= endMs && untilMs > endMs - WINDOW_MS);
            const allowed = Math.max(...used.map(({ entry }) => computeAllowed(entry)));
            const granted = index - first + 1;
            if (worst === undefined || granted / allowed > worst.granted / worst.allowed) {
                worst = { team, endMs, granted, allowed };
            }
        });
        return worst;
    }

    /** Operations of a team that each VM granted in the window that ends at a time. */
    countByVm(team: string, endMs: number): Map<string, number> {
        const counts = new Map<string, number>();
        this.grants.get(team)?.forEach((atMs, index) => {
            if (atMs <= endMs && atMs >= endMs - WINDOW_MS) {
                const vm = this.granters.get(team)![index]!;
                counts.set(vm, (counts.get(vm) ?? 0) + 1);
            }
        });
        return counts;
    }

    countGrants(team: string, fromMs: number, untilMs: number): number {
        return this.grants.get(team)?.filter(atMs => atMs >= fromMs && atMs < untilMs).length ?? 0;
    }
}
