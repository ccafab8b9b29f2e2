/**
 * Estimate of the time after which a replica has replayed a write. It only decides where a read is tried first; the
 * position check on the replica's connection decides whether the replica may serve the read.
 */
export interface LagEstimate {
    readonly lagMs: number;
}

const INITIAL_LAG_MS = 50;
const MAXIMUM_LAG_MS = 10_000;
const GROWTH_FACTOR = 1.5;
const DECAY_FACTOR = 0.98;
/** Reads that were not sent to the replica shrink the estimate too, so that one high sample does not exclude the replica forever. */
const SKIPPED_READ_DECAY_FACTOR = 0.95;

export const initialLagEstimate: LagEstimate = { lagMs: INITIAL_LAG_MS };

/** Returns whether the replica is expected to have replayed a write of `elapsedMs` ago. */
export const isLikelyReplayed = (estimate: LagEstimate, elapsedMs: number): boolean => elapsedMs >= estimate.lagMs;

/**
 * Updates the estimate by the replica's position check: it grows at once when the replica was behind and shrinks slowly
 * when it was not, so that a replica that has caught up is tried again.
 *
 * @param elapsedMs time from the write to the check
 */
export const updateLagEstimate = (estimate: LagEstimate, elapsedMs: number, isBehind: boolean): LagEstimate => {
    if (isBehind) {
        return { lagMs: Math.min(MAXIMUM_LAG_MS, Math.max(estimate.lagMs, elapsedMs) * GROWTH_FACTOR) };
    }
    return { lagMs: estimate.lagMs * DECAY_FACTOR };
};

/** Shrinks the estimate after a read that was not sent to the replica. */
export const decayLagEstimate = (estimate: LagEstimate): LagEstimate => ({ lagMs: estimate.lagMs * SKIPPED_READ_DECAY_FACTOR });
