import type { AdmissionState } from "./AdmissionState.ts";
import { estimateStartIntervalMs } from "./estimateWait.ts";

/** Part of a rank's usual deadline that its queue may take. */
const QUEUE_DEADLINE_SHARE = 0.5;

/** Part of the credits that all senders share equally, so that a new sender can grow. */
const EQUAL_SHARE = 0.5;

/** Places that are open for a rank, for all senders together. A sender uses a place again once it is answered. */
const countOpenPlaces = (state: AdmissionState, rank: number): number => {
    const { queue } = state.ranks[rank]!;
    const { queueLimit, ranks, slots } = state.options;
    const intervalMs = Math.max(estimateStartIntervalMs(state, rank), Number.EPSILON);
    const wantedLength = Math.min(queueLimit, Math.max(slots, ranks[rank]!.deadlineMs * QUEUE_DEADLINE_SHARE / intervalMs));
    return Math.max(0, wantedLength - queue.length);
};

/**
 * Decides how many requests of each rank a sender may send until its next report: half of the open places
 * are shared equally, half by what each sender sent lately.
 *
 * @param arrivals requests that the sender sent lately, by rank
 * @param totalArrivals requests that all senders sent lately, by rank
 * @param senderCount senders that use the instance, at least 1
 */
export const grantCredits = (
    state: AdmissionState,
    arrivals: readonly number[],
    totalArrivals: readonly number[],
    senderCount: number,
): number[] =>
    state.options.ranks.map((_rank, rank) => {
        const total = totalArrivals[rank] ?? 0;
        const equal = 1 / senderCount;
        const share = total === 0 ? equal : EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * (arrivals[rank] ?? 0) / total;
        return Math.ceil(countOpenPlaces(state, rank) * share);
    });
