import type { TeamEntry } from "@pomeloturn/types/Teams";

/** How far all VMs together may exceed a team's allowance, in any window of a given length. */
export interface AllowanceBounds {
    readonly windowS: number;
    /** Share of the window's allowance that may be exceeded. */
    readonly overageShare: number;
    /** Number of operations that may be run beyond that share. */
    readonly slackOperations: number;
}

/** Limits of the token bucket of one seat. */
export interface SeatLimits {
    readonly operationsPerS: number;
    readonly capacityOperations: number;
}

/**
 * Number of independent parts of a team's allowance, each held by another VM. Two of four still grant more than a team that
 * uses five eighths of its allowance needs.
 */
export const SEAT_COUNT = 4;

/** Allowance of a window below which one seat has it all, because a bucket of less than one operation grants none. */
const MINIMUM_DIVIDED_OPERATIONS = 2 * SEAT_COUNT;

const BURST_SHARE = 0.25;
const SLACK_SHARE = 0.75;
/** Covers the rounding of times on different VMs. */
const MARGIN_OPERATIONS = 1;

/** Share by which the clock of a VM may run too fast: its bucket then fills that much faster. */
const CLOCK_DRIFT_SHARE = 0.01;

/**
 * Divides a team's allowance among its seats. In any window, all seats together grant at most the operations that the bounds
 * accept, whatever each of them knows of the others.
 *
 * @param seat from 0 to `SEAT_COUNT` - 1
 */
export const computeSeatLimits = (team: TeamEntry, bounds: AllowanceBounds, seat: number): SeatLimits => {
    const { windowS, overageShare, slackOperations } = bounds;
    const allowedOperations = (team.operationsPerS * windowS + team.burstOperations) * (1 + overageShare) + slackOperations;
    const windowOperations = Math.max(0, allowedOperations - MARGIN_OPERATIONS);
    const seatCount = windowOperations < MINIMUM_DIVIDED_OPERATIONS ? 1 : SEAT_COUNT;
    if (seat >= seatCount) {
        return { operationsPerS: 0, capacityOperations: 0 };
    }
    const preferredCapacity = Math.max(seatCount, BURST_SHARE * team.burstOperations + SLACK_SHARE * slackOperations);
    const capacityOperations = Math.min(windowOperations, preferredCapacity);
    return {
        operationsPerS: (windowOperations - capacityOperations) / (windowS * (1 + CLOCK_DRIFT_SHARE)) / seatCount,
        capacityOperations: capacityOperations / seatCount,
    };
};
