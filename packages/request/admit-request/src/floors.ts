import type { AdmissionState, RankState } from "./AdmissionState.ts";

/** A rank keeps its floor in every window of this length while it has work. */
export const FLOOR_WINDOW_MS = 10_000;

/** A floor yields to the most urgent rank until it is this late, so that short bursts of urgent work go first. */
export const FLOOR_DELAY_MS = 500;

/** Statements that a window may miss: one at each end, and one by which earlier use may be ahead of the floor. */
const BORDER_STATEMENTS = 3;

/** Longest time that a floor makes up for after its rank got no slot, for example behind long statements. */
const FLOOR_MEMORY_MS = 5_000;

/**
 * Slot milliseconds that a rank earns in a millisecond of work. More than its floor by what a window may
 * lose to the delay and at its ends, so that every window has the floor; together never more than what
 * the most urgent rank's own floor leaves.
 */
const earningRate = (state: AdmissionState, rank: number): number => {
    const { slots, ranks } = state.options;
    const floorShare = ranks[rank]?.floorShare ?? 0;
    const bordersMs = floorShare === 0 ? 0 : BORDER_STATEMENTS * state.ranks[rank]!.longestServiceMs;
    const wanted = (floorShare * slots * FLOOR_WINDOW_MS + bordersMs) / (FLOOR_WINDOW_MS - FLOOR_DELAY_MS);
    const urgentShare = ranks[0]!.floorShare;
    const otherShares = ranks.slice(1).reduce((sum, each) => sum + each.floorShare, 0);
    const largest = otherShares === 0 ? 0 : slots * Math.max(1 - urgentShare, otherShares) * floorShare / otherShares;
    return Math.min(wanted, largest);
};

const hasWork = (rank: RankState): boolean => rank.queue.length > 0 || rank.runningCount > 0;

/** Earns and uses slot time up to `nowMs`. The most urgent rank needs no account. */
export const advanceFloors = (state: AdmissionState, nowMs: number): void => {
    const elapsedMs = nowMs - state.advancedAtMs;
    if (elapsedMs <= 0) {
        return;
    }
    state.advancedAtMs = nowMs;
    for (let index = 1; index < state.ranks.length; index++) {
        const rank = state.ranks[index]!;
        rank.longestServiceMs = Math.max(rank.serviceTimeMs, rank.longestServiceMs * (1 - Math.min(1, elapsedMs / FLOOR_WINDOW_MS)));
        if (!hasWork(rank)) {
            rank.deficitMs = Math.min(rank.deficitMs, 0);
            continue;
        }
        const rate = earningRate(state, index);
        const changed = rank.deficitMs + elapsedMs * (rate - rank.runningCount);
        // Work beyond the floor on free slots costs at most one statement later.
        rank.deficitMs = Math.min(Math.max(changed, -rank.serviceTimeMs), rate * FLOOR_MEMORY_MS);
    }
};

/**
 * How late a rank's floor is, in milliseconds, when its running requests are counted to their expected end.
 *
 * @returns a negative number when the rank has more than its floor
 */
export const floorLatenessMs = (state: AdmissionState, rank: number): number => {
    const rate = earningRate(state, rank);
    const { deficitMs, runningCount, serviceTimeMs } = state.ranks[rank]!;
    return rate === 0 ? -Infinity : (deficitMs - runningCount * serviceTimeMs) / rate;
};
