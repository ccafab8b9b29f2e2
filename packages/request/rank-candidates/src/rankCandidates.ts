/** An instance that could serve a read. */
export interface Candidate {
    readonly id: string;
    /** Mean time of a statement, including the network round trip. */
    readonly latencyMs: number;
    /** Number of this VM's requests that use a connection to the instance or wait for one. */
    readonly load: number;
    readonly distance: Distance;
    readonly isDraining: boolean;
    readonly isUnreachable: boolean;
    readonly isPrimary: boolean;
    /** Whether the instance is known to lack data that the read must see. */
    readonly isBehind: boolean;
    /** Expected wait for a connection, or time until this VM may send a statement again after the instance refused one as busy. */
    readonly waitMs: number;
}

/** Network distance of an instance from this VM. */
export const Distance = {
    SameDomain: "sameDomain",
    SameRegion: "sameRegion",
    OtherRegion: "otherRegion",
} as const;
export type Distance = typeof Distance[keyof typeof Distance];

/** Extra wait that is accepted to avoid a longer and possibly paid network path, as a share of the request's target latency. */
const DISTANCE_PENALTY_SHARES: Readonly<Record<Distance, number>> = {
    [Distance.SameDomain]: 0,
    [Distance.SameRegion]: 0.1,
    [Distance.OtherRegion]: 0.25,
};

/** Delay per outstanding request, as a share of the mean time; less than 1 as an instance executes several at once. */
const LOAD_PENALTY_SHARE = 0.5;

/** Penalty for reading from a primary, which also serves the writes, as a share of the target latency. */
const PRIMARY_PENALTY_SHARE = 0.03;

/** Returns the cost of a candidate: the expected time of the read, plus the penalties for distance (a paid path) and for a primary. */
const candidateCostMs = (candidate: Candidate, targetLatencyMs: number): number =>
    candidate.waitMs + candidate.latencyMs * (1 + LOAD_PENALTY_SHARE * candidate.load)
    + targetLatencyMs * (DISTANCE_PENALTY_SHARES[candidate.distance] + (candidate.isPrimary ? PRIMARY_PENALTY_SHARE : 0));

/**
 * Chooses the instance with the lowest cost for a read. Draining, unreachable and lagging instances are left out.
 *
 * @param excluded ids of the instances that were already tried for this request
 * @returns undefined when no instance is left
 */
export const chooseCandidate = (
    candidates: readonly Candidate[],
    excluded: ReadonlySet<string>,
    targetLatencyMs: number,
): Candidate | undefined => {
    let chosen: Candidate | undefined;
    let lowestCostMs = Infinity;
    for (const candidate of candidates) {
        const isUsable = !excluded.has(candidate.id) && !candidate.isUnreachable && !candidate.isBehind && !candidate.isDraining;
        const costMs = isUsable ? candidateCostMs(candidate, targetLatencyMs) : Infinity;
        if (costMs < lowestCostMs) {
            chosen = candidate;
            lowestCostMs = costMs;
        }
    }
    return chosen;
};
