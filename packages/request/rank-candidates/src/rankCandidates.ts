/** An instance that could serve a read. */
export interface Candidate {
    readonly id: string;
    /** Mean time of a statement, with the way there and back. */
    readonly latencyMs: number;
    /** Requests of this VM that use a connection to the instance or wait for one. */
    readonly load: number;
    readonly distance: Distance;
    readonly isDraining: boolean;
    readonly isUnreachable: boolean;
    readonly isPrimary: boolean;
    /** Whether the instance is known to lack what the read must see. */
    readonly isBehind: boolean;
    /** Time until a statement may be sent there, after the instance was busy. */
    readonly waitMs: number;
}

/** Constants for how far an instance is from this VM. */
export const Distance = {
    SameDomain: "sameDomain",
    SameRegion: "sameRegion",
    OtherRegion: "otherRegion",
} as const;
export type Distance = typeof Distance[keyof typeof Distance];

/** Wait that is accepted to spare the paid way, as a share of the request's target latency. */
const DISTANCE_SHARE: Readonly<Record<Distance, number>> = {
    [Distance.SameDomain]: 0,
    [Distance.SameRegion]: 0.1,
    [Distance.OtherRegion]: 0.25,
};

/** Each request ahead delays by this share of the mean time, as an instance executes several at once. */
const LOAD_SHARE = 0.5;

/** A primary also carries the writes: reads leave it this share of the target latency. */
const PRIMARY_SHARE = 0.03;

/** Expected time of a read, with the paid way weighed as time. */
const weighCandidate = (candidate: Candidate, targetLatencyMs: number): number =>
    candidate.waitMs + candidate.latencyMs * (1 + LOAD_SHARE * candidate.load)
    + targetLatencyMs * (DISTANCE_SHARE[candidate.distance] + (candidate.isPrimary ? PRIMARY_SHARE : 0));

/**
 * Chooses the instance for a read that any sufficiently new log can serve.
 *
 * @param excluded instances that were tried for this request
 * @returns undefined when no instance is left
 */
export const chooseCandidate = (
    candidates: readonly Candidate[],
    excluded: ReadonlySet<string>,
    targetLatencyMs: number,
): Candidate | undefined => {
    let chosen: Candidate | undefined;
    let chosenWeight = Infinity;
    for (const candidate of candidates) {
        const isUsable = !excluded.has(candidate.id) && !candidate.isUnreachable && !candidate.isBehind && !candidate.isDraining;
        const weight = isUsable ? weighCandidate(candidate, targetLatencyMs) : Infinity;
        if (weight < chosenWeight) {
            chosen = candidate;
            chosenWeight = weight;
        }
    }
    return chosen;
};
