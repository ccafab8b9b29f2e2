import type { AdmissionState, RankState } from "./AdmissionState.ts";

/** Every time window of this length contains at least the floor of each rank that has work throughout. */
export const FLOOR_WINDOW_MS = 10_000;

/** Lateness from which a floor takes precedence over the most urgent rank, so that short bursts of urgent work go first. */
export const ACCEPTED_FLOOR_LATENESS_MS = 500;

/** Statements by which a window may fall short: one at each end, and one that was run ahead of the floor before it. */
const WINDOW_EDGE_STATEMENTS = 3;

/** Longest time without a slot for which a rank's floor catches up afterwards, for example behind long statements. */
const MAXIMUM_CATCH_UP_MS = 5_000;

/**
 * Returns the slot milliseconds that a rank's floor accrues per millisecond in which the rank has work. The rate exceeds
 * the floor by what a window may lose to the accepted lateness and at its ends, so that every window contains
 * the floor. All rates together never exceed what the most urgent rank's own floor leaves.
 */
const accrualRate = (state: AdmissionState, rank: number): number => {
    const { slots, ranks } = state.options;
    const floorShare = ranks[rank]?.floorShare ?? 0;
    const windowEdgesMs = floorShare === 0 ? 0 : WINDOW_EDGE_STATEMENTS * state.ranks[rank]!.longestServiceTimeMs;
    const wantedRate = (floorShare * slots * FLOOR_WINDOW_MS + windowEdgesMs) / (FLOOR_WINDOW_MS - ACCEPTED_FLOOR_LATENESS_MS);
    const urgentShare = ranks[0]!.floorShare;
    const otherShares = ranks.slice(1).reduce((sum, each) => sum + each.floorShare, 0);
    const maximumRate = otherShares === 0 ? 0 : slots * Math.max(1 - urgentShare, otherShares) * floorShare / otherShares;
    return Math.min(wantedRate, maximumRate);
};

const hasWork = (rank: RankState): boolean => rank.queue.length > 0 || rank.runningCount > 0;

/** Updates the floor deficits to `nowMs` by the slot time accrued and used. The most urgent rank has none, as it goes first anyway. */
export const updateFloorDeficits = (state: AdmissionState, nowMs: number): void => {
    const elapsedMs = nowMs - state.deficitsUpdatedAtMs;
    if (elapsedMs <= 0) {
        return;
    }
    state.deficitsUpdatedAtMs = nowMs;
    for (let index = 1; index < state.ranks.length; index++) {
        const rank = state.ranks[index]!;
        rank.longestServiceTimeMs = Math.max(
            rank.serviceTimeMs,
            rank.longestServiceTimeMs * (1 - Math.min(1, elapsedMs / FLOOR_WINDOW_MS)),
        );
        if (!hasWork(rank)) {
            rank.deficitMs = Math.min(rank.deficitMs, 0);
            continue;
        }
        const rate = accrualRate(state, index);
        const updatedDeficitMs = rank.deficitMs + elapsedMs * (rate - rank.runningCount);
        // Limits the debt for using free slots beyond the floor to one statement.
        rank.deficitMs = Math.min(Math.max(updatedDeficitMs, -rank.serviceTimeMs), rate * MAXIMUM_CATCH_UP_MS);
    }
};

/**
 * Returns how late a rank's floor is, in milliseconds, with the slot time of its running requests counted up to their expected end.
 *
 * @returns a negative number when the rank has more than its floor; -Infinity when it has no floor
 */
export const floorLatenessMs = (state: AdmissionState, rank: number): number => {
    const rate = accrualRate(state, rank);
    const { deficitMs, runningCount, serviceTimeMs } = state.ranks[rank]!;
    return rate === 0 ? -Infinity : (deficitMs - runningCount * serviceTimeMs) / rate;
};
