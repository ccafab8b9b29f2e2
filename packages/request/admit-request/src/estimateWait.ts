import type { AdmissionState } from "./AdmissionState.ts";

/** Weight of the newest sample in a smoothed value. */
const SMOOTHING = 0.1;

/** Exponentially weighted mean. */
export const smooth = (previous: number, sample: number): number => previous + SMOOTHING * (sample - previous);

/**
 * Time between two starts of a rank. Without waiting requests the measured value may be old, so that the
 * service time stands in for it.
 */
export const estimateStartIntervalMs = (state: AdmissionState, rank: number): number => {
    const { queue, serviceTimeMs, startIntervalMs } = state.ranks[rank]!;
    return queue.length === 0 ? serviceTimeMs / state.options.slots : startIntervalMs;
};

/** Time that a request of the rank would wait if it arrived now, behind the rank's queue. */
export const estimateWaitMs = (state: AdmissionState, rank: number): number =>
    state.ranks[rank]!.queue.length * estimateStartIntervalMs(state, rank);
