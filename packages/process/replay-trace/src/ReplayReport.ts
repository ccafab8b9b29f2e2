/** Result of a replay for one rank. */
export interface RankReport {
    readonly name: string;
    readonly arrivedCount: number;
    readonly servedCount: number;
    /** Requests that were refused without being run. */
    readonly refusedCount: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    /** Share of the served requests within the rank's target latency, 0 to 1. */
    readonly withinTargetShare: number;
    /** Largest shortfall of the rank below its floor in any window, as a share of an instance's slot time, 0 to 1. */
    readonly floorShortfallShare: number;
}

/** Result of a replay. */
export interface ReplayReport {
    readonly ranks: readonly RankReport[];
    /** Share of all reads that a replica served, 0 to 1. */
    readonly replicaShare: number;
    /** Of the reads that some replica was provably fresh enough for, the share that a replica served, 0 to 1. */
    readonly provableReplicaShare: number;
    /** Bytes on paid links, both directions. */
    readonly linkBytes: number;
    /** Largest number of bytes within a second on one paid link in one direction. */
    readonly peakLinkBytesPerSecond: number;
    /** Reads that returned data older than their session's last write. */
    readonly staleCount: number;
    /** Requests that were neither answered nor refused. */
    readonly lostCount: number;
}

/** Outcome of one request. */
export interface FinishedRequest {
    readonly rank: number;
    readonly latencyMs: number;
    readonly isServed: boolean;
    readonly isRead: boolean;
    readonly isProvable: boolean;
    readonly isReplica: boolean;
    readonly isStale: boolean;
}

const percentile = (sorted: readonly number[], share: number): number =>
    sorted.length === 0 ? 0 : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!;

const ratio = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

/** Summarizes the finished requests of one rank. */
export const reportRank = (
    rank: { readonly name: string; readonly targetLatencyMs: number; },
    arrivedCount: number,
    finished: readonly FinishedRequest[],
    floorShortfallShare: number,
): RankReport => {
    const latencies = finished.filter(({ isServed }) => isServed).map(({ latencyMs }) => latencyMs).sort((left, right) => left - right);
    return {
        name: rank.name,
        arrivedCount,
        servedCount: latencies.length,
        refusedCount: finished.length - latencies.length,
        p50Ms: percentile(latencies, 0.5),
        p99Ms: percentile(latencies, 0.99),
        withinTargetShare: ratio(latencies.filter(each => each <= rank.targetLatencyMs).length, latencies.length),
        floorShortfallShare,
    };
};

/** Computes the share of reads that replicas served: of all reads, and of those that a replica was provably fresh enough for. */
export const reportReplicaShares = (finished: readonly FinishedRequest[]): { readonly all: number; readonly provable: number; } => {
    const reads = finished.filter(({ isRead, isServed }) => isRead && isServed);
    const provable = reads.filter(({ isProvable }) => isProvable);
    return {
        all: ratio(reads.filter(({ isReplica }) => isReplica).length, reads.length),
        provable: ratio(provable.filter(({ isReplica }) => isReplica).length, provable.length),
    };
};
