import type { ReplayReport } from "./ReplayReport.ts";

/** What a rank must get. */
export interface RankOutcome {
    readonly name: string;
    /** Of all that arrived, 0 to 1. */
    readonly minimumServedShare?: number;
    /** Of all that was served, 0 to 1. */
    readonly minimumWithinTargetShare?: number;
    readonly maximumFloorShortfallShare?: number;
}

/** The stated outcome of a trace. */
export interface StatedOutcome {
    readonly maximumStaleCount: number;
    readonly maximumLostCount: number;
    readonly minimumProvableReplicaShare: number;
    readonly maximumPeakLinkBytesPerSecond: number;
    readonly ranks: readonly RankOutcome[];
}

/** Compares a replay with the stated outcome; @returns a line for each statement that does not hold */
export const checkOutcome = (report: ReplayReport, stated: StatedOutcome): string[] => {
    const failures: string[] = [];
    const atMost = (name: string, value: number, bound: number | undefined): void => {
        if (bound !== undefined && value > bound) {
            failures.push(`${name} is ${value}, stated at most ${bound}`);
        }
    };
    const atLeast = (name: string, value: number, bound: number | undefined): void => {
        if (bound !== undefined && value < bound) {
            failures.push(`${name} is ${value}, stated at least ${bound}`);
        }
    };
    atMost("stale reads", report.staleCount, stated.maximumStaleCount);
    atMost("lost requests", report.lostCount, stated.maximumLostCount);
    atLeast("share of provable reads at replicas", report.provableReplicaShare, stated.minimumProvableReplicaShare);
    atMost("peak bytes a second of a paid link", report.peakLinkBytesPerSecond, stated.maximumPeakLinkBytesPerSecond);
    for (const outcome of stated.ranks) {
        const rank = report.ranks.find(({ name }) => name === outcome.name)!;
        atLeast(`${rank.name}: share served`, rank.servedCount / rank.arrivedCount, outcome.minimumServedShare);
        atLeast(`${rank.name}: share within target`, rank.withinTargetShare, outcome.minimumWithinTargetShare);
        atMost(`${rank.name}: shortfall of the floor`, rank.floorShortfallShare, outcome.maximumFloorShortfallShare);
    }
    return failures;
};
