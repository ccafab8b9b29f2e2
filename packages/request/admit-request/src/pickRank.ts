import type { AdmissionState } from "./AdmissionState.ts";
import { FLOOR_DELAY_MS, floorLatenessMs } from "./floors.ts";

/**
 * Decides which rank gets the next free slot: a floor that is overdue, else the most urgent rank, else a
 * floor that is due, else the most urgent rank with work.
 *
 * @returns undefined when no request waits
 */
export const pickRank = (state: AdmissionState): number | undefined => {
    const isUrgentWaiting = state.ranks[0]!.queue.length > 0;
    let latest: number | undefined;
    let latenessMs = isUrgentWaiting ? FLOOR_DELAY_MS : 0;
    for (let rank = 1; rank < state.ranks.length; rank++) {
        if (state.ranks[rank]!.queue.length > 0 && floorLatenessMs(state, rank) >= latenessMs) {
            latest = rank;
            latenessMs = floorLatenessMs(state, rank);
        }
    }
    if (latest !== undefined) {
        return latest;
    }
    const mostUrgent = state.ranks.findIndex(({ queue }) => queue.length > 0);
    return mostUrgent < 0 ? undefined : mostUrgent;
};
