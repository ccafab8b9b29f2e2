import type { AdmissionState } from "./AdmissionState.ts";
import { estimateStartIntervalMs } from "./estimateWait.ts";

/** Share of a rank's usual deadline that waiting in its queue may take. */
const QUEUE_DEADLINE_SHARE = 0.5;

/** Share of the credits that is divided equally among the senders, so that a new sender can grow. */
const EQUAL_SHARE = 0.5;

/** Counts the free places in a rank's queue, for all senders together. A sender reuses its place once the request is answered. */
const countFreePlaces = (state: AdmissionState, rank: number): number => {
    const { queue } = state.ranks[rank]!;
    const { queueLimit, ranks, slots } = state.options;
    const intervalMs = Math.max(estimateStartIntervalMs(state, rank), Number.EPSILON);
    const targetLength = Math.min(queueLimit, Math.max(slots, ranks[rank]!.deadlineMs * QUEUE_DEADLINE_SHARE / intervalMs));
    return Math.max(0, targetLength - queue.length);
};

/**
 * Decides how many requests of each rank a sender may send before it gets the next report. Half of the free places
 * are divided equally among the senders, the other half in proportion to their recent requests.
 *
 * @param arrivals number of recent requests of the sender, by rank
 * @param totalArrivals number of recent requests of all senders, by rank
 * @param senderCount number of senders that use the instance, at least 1
 * @returns credits by rank
 */
export const grantCredits = (
    state: AdmissionState,
    arrivals: readonly number[],
    totalArrivals: readonly number[],
    senderCount: number,
): number[] =>
    state.options.ranks.map((_rank, rank) => {
        const total = totalArrivals[rank] ?? 0;
        const equalShare = 1 / senderCount;
        const share = total === 0 ? equalShare : EQUAL_SHARE * equalShare + (1 - EQUAL_SHARE) * (arrivals[rank] ?? 0) / total;
        return Math.ceil(countFreePlaces(state, rank) * share);
    });
