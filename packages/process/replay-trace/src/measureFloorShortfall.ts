import type { SlotTime } from "./InstanceModel.ts";

const WINDOW_MS = 10_000;
const WINDOW_STEP_MS = 1_000;
/** Work that arrives this close to the end of a window may be served after it and is not counted as offered. */
const WINDOW_END_ALLOWANCE_MS = 1_000;

const sumBetween = (times: readonly SlotTime[], fromMs: number, toMs: number): number =>
    times.reduce((sum, { atMs, durationMs }) => atMs >= fromMs && atMs < toMs ? sum + durationMs : sum, 0);

/**
 * Measures the largest shortfall of a rank below its floor at an instance, over all windows of 10 s: the slot time
 * that the rank requested, capped at its floor, minus the slot time that it used.
 *
 * @returns share of the instance's slot time in a window, 0 to 1
 */
export const measureFloorShortfall = (
    offered: readonly SlotTime[],
    used: readonly SlotTime[],
    rank: number,
    floorShare: number,
    slots: number,
): number => {
    const ofRank = (times: readonly SlotTime[]): SlotTime[] => times.filter(each => each.rank === rank);
    const offeredByRank = ofRank(offered);
    const usedByRank = ofRank(used);
    const slotTimeMs = slots * WINDOW_MS;
    const endMs = used.at(-1)?.atMs ?? 0;
    let largest = 0;
    for (let fromMs = 0; fromMs + WINDOW_MS <= endMs; fromMs += WINDOW_STEP_MS) {
        const offeredShare = sumBetween(offeredByRank, fromMs, fromMs + WINDOW_MS - WINDOW_END_ALLOWANCE_MS) / slotTimeMs;
        const usedShare = sumBetween(usedByRank, fromMs, fromMs + WINDOW_MS) / slotTimeMs;
        largest = Math.max(largest, Math.min(floorShare, offeredShare) - usedShare);
    }
    return largest;
};
