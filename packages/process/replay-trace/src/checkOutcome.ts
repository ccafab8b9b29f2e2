import type { ReplayReport } from "./ReplayReport.ts";

/** Bounds on the results of a rank. */
export interface RankBounds {
    readonly name: string;
    /** Share of the rank's arrived requests, 0 to 1. */
    readonly minimumServedShare?: number;
    /** Share of the rank's served requests, 0 to 1. */
    readonly minimumWithinTargetShare?: number;
    readonly maximumFloorShortfallShare?: number;
}

/** Bounds on the replay of a trace, read from its `.outcome.json` file. */
export interface ExpectedOutcome {
    readonly maximumStaleCount: number;
    readonly maximumLostCount: number;
    readonly minimumProvableReplicaShare: number;
    readonly maximumPeakLinkBytesPerSecond: number;
    readonly ranks: readonly RankBounds[];
}

/** Compares a replay with its expected outcome. @returns a message for each bound that is violated */
export const checkOutcome = (report: ReplayReport, expected: ExpectedOutcome): string[] => {
    const failures: string[] = [];
    const requireAtMost = (name: string, value: number, bound: number | undefined): void => {
        if (bound !== undefined && value > bound) {
            failures.push(`${name} is ${value}, expected at most ${bound}`);
        }
    };
    const requireAtLeast = (name: string, value: number, bound: number | undefined): void => {
        if (bound !== undefined && value < bound) {
            failures.push(`${name} is ${value}, expected at least ${bound}`);
        }
    };
    requireAtMost("stale reads", report.staleCount, expected.maximumStaleCount);
    requireAtMost("lost requests", report.lostCount, expected.maximumLostCount);
    requireAtLeast("share of provable reads served by replicas", report.provableReplicaShare, expected.minimumProvableReplicaShare);
    requireAtMost("peak bytes per second on a paid link", report.peakLinkBytesPerSecond, expected.maximumPeakLinkBytesPerSecond);
    for (const outcome of expected.ranks) {
        const rank = report.ranks.find(({ name }) => name === outcome.name)!;
        requireAtLeast(`rank ${rank.name}: share of requests served`, rank.servedCount / rank.arrivedCount, outcome.minimumServedShare);
        requireAtLeast(`rank ${rank.name}: share within target latency`, rank.withinTargetShare, outcome.minimumWithinTargetShare);
        requireAtMost(`rank ${rank.name}: shortfall below the floor`, rank.floorShortfallShare, outcome.maximumFloorShortfallShare);
    }
    return failures;
};
