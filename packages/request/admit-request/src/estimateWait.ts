import type { AdmissionState } from "./AdmissionState.ts";

/** Weight of the newest sample in an exponential moving average. */
const SMOOTHING = 0.1;

/** Returns the exponential moving average after another sample. */
export const smooth = (previous: number, sample: number): number => previous + SMOOTHING * (sample - previous);

/**
 * Estimates the time between two starts of a rank's requests. While no request waits, the measured interval may be
 * outdated, so the estimate is the service time divided by the number of slots.
 */
export const estimateStartIntervalMs = (state: AdmissionState, rank: number): number => {
    const { queue, serviceTimeMs, startIntervalMs } = state.ranks[rank]!;
    return queue.length === 0 ? serviceTimeMs / state.options.slots : startIntervalMs;
};

/** Estimates how long a request of the rank would wait behind the rank's queue if it arrived now. */
export const estimateWaitMs = (state: AdmissionState, rank: number): number =>
    state.ranks[rank]!.queue.length * estimateStartIntervalMs(state, rank);
