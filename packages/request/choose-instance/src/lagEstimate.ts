/**
 * How long after a write a replica is expected to have replayed it. It only decides where a read is
 * tried first: the position check on the replica's connection remains the proof.
 */
export interface LagEstimate {
    readonly lagMs: number;
}

const INITIAL_LAG_MS = 50;
const HIGHEST_LAG_MS = 10_000;
const GROWTH_FACTOR = 1.5;
const DECAY_FACTOR = 0.98;
/** Reads that were not tried shrink the estimate too, so that one late check does not hold for good. */
const WITHHELD_DECAY_FACTOR = 0.95;

export const initialLagEstimate: LagEstimate = { lagMs: INITIAL_LAG_MS };

/** Whether a write of `elapsedMs` ago is expected at the replica. */
export const isLikelyReplayed = (estimate: LagEstimate, elapsedMs: number): boolean => elapsedMs >= estimate.lagMs;

/**
 * Learns from the replica's own check: grows at once when it was behind, shrinks slowly when it was not,
 * so that a replica that catches up is tried again.
 *
 * @param elapsedMs time from the write to the check
 */
export const updateLagEstimate = (estimate: LagEstimate, elapsedMs: number, isBehind: boolean): LagEstimate => {
    if (isBehind) {
        return { lagMs: Math.min(HIGHEST_LAG_MS, Math.max(estimate.lagMs, elapsedMs) * GROWTH_FACTOR) };
    }
    return { lagMs: estimate.lagMs * DECAY_FACTOR };
};

/** Shrinks the estimate because a read was not tried at the replica. */
export const decayLagEstimate = (estimate: LagEstimate): LagEstimate => ({ lagMs: estimate.lagMs * WITHHELD_DECAY_FACTOR });
