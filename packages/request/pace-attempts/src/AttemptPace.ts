/** How fast this VM sends to an instance that has refused work for want of a slot. */
export interface AttemptPace {
    /** Interval between statements of the lower ranks, in milliseconds; 0 while the instance keeps up. */
    intervalMs: number;
    /** Monotonic time of the next turn of a lower rank. */
    nextAtMs: number;
    /** Monotonic time of the last refusal. */
    busyAtMs: number;
}

const FIRST_INTERVAL_MS = 10;
const LONGEST_INTERVAL_MS = 200;
const SLOWDOWN = 2;
/** Each served statement shortens the interval by this factor. */
const SPEEDUP = 0.6;
/** Pause of the most urgent rank after a refusal: about one statement's time at an instance. */
const URGENT_PAUSE_MS = 15;
const URGENT_RANK = 0;

export const createPace = (): AttemptPace => ({ intervalMs: 0, nextAtMs: -Infinity, busyAtMs: -Infinity });

/** The instance refused a statement for want of a slot. @param random 0 to 1, so that VMs do not come back together */
export const recordBusy = (pace: AttemptPace, random: number, nowMs: number): void => {
    pace.busyAtMs = nowMs;
    if (nowMs < pace.nextAtMs) {
        // Statements that were under way together count once.
        return;
    }
    pace.intervalMs = Math.min(LONGEST_INTERVAL_MS, Math.max(FIRST_INTERVAL_MS, pace.intervalMs * SLOWDOWN));
    pace.nextAtMs = nowMs + pace.intervalMs * (1 / 2 + random);
};

/** The instance ran a statement. */
export const recordServed = (pace: AttemptPace): void => {
    const intervalMs = pace.intervalMs * SPEEDUP;
    pace.intervalMs = intervalMs < FIRST_INTERVAL_MS / SLOWDOWN ? 0 : intervalMs;
};

/** @returns milliseconds until a statement of the rank may be sent; 0 when it may be now */
export const waitForTurn = (pace: AttemptPace, rank: number, nowMs: number): number =>
    Math.max(0, (rank === URGENT_RANK ? pace.busyAtMs + URGENT_PAUSE_MS : pace.nextAtMs) - nowMs);

/** Takes the turn that has come. */
export const takeTurn = (pace: AttemptPace, rank: number, nowMs: number): void => {
    if (rank !== URGENT_RANK && pace.intervalMs > 0) {
        pace.nextAtMs = nowMs + pace.intervalMs;
    }
};
