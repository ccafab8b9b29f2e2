import type { AdmissionState } from "./AdmissionState.ts";
import { ACCEPTED_FLOOR_LATENESS_MS, floorLatenessMs } from "./floors.ts";

/**
 * Decides which rank gets the next free slot. In this order: a rank whose floor is overdue, the most urgent rank,
 * a rank whose floor is due, the most urgent rank that has a waiting request.
 *
 * @returns undefined when no request waits
 */
export const pickRank = (state: AdmissionState): number | undefined => {
    const isUrgentWaiting = state.ranks[0]!.queue.length > 0;
    let mostOverdue: number | undefined;
    let minimumLatenessMs = isUrgentWaiting ? ACCEPTED_FLOOR_LATENESS_MS : 0;
    for (let rank = 1; rank < state.ranks.length; rank++) {
        if (state.ranks[rank]!.queue.length > 0 && floorLatenessMs(state, rank) >= minimumLatenessMs) {
            mostOverdue = rank;
            minimumLatenessMs = floorLatenessMs(state, rank);
        }
    }
    if (mostOverdue !== undefined) {
        return mostOverdue;
    }
    const mostUrgent = state.ranks.findIndex(({ queue }) => queue.length > 0);
    return mostUrgent < 0 ? undefined : mostUrgent;
};
