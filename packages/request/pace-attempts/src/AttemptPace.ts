/** Pacing of the statements that this VM sends to an instance, after the instance refused some as it had no free slot. */
export interface AttemptPace {
    /** Interval between statements of the lower ranks; 0 while the instance refuses none. */
    intervalMs: number;
    /** Monotonic time from which the next statement of a lower rank may be sent, in milliseconds. */
    nextAttemptAtMs: number;
    /** Monotonic time of the last refusal, in milliseconds. */
    refusedAtMs: number;
}

const INITIAL_INTERVAL_MS = 10;
const MAXIMUM_INTERVAL_MS = 200;
/** Each refusal lengthens the interval by this factor. */
const BACKOFF_FACTOR = 2;
/** Each executed statement shortens the interval by this factor. */
const RECOVERY_FACTOR = 0.6;
/** Backoff of the most urgent rank after a refusal: about the service time of one statement. */
const URGENT_BACKOFF_MS = 15;
const URGENT_RANK = 0;

export const createAttemptPace = (): AttemptPace => ({ intervalMs: 0, nextAttemptAtMs: -Infinity, refusedAtMs: -Infinity });

/**
 * Records that the instance refused a statement as it had no free slot.
 *
 * @param random random number from 0 to 1, so that VMs do not retry at the same time
 * @param nowMs monotonic time in milliseconds
 */
export const recordRefusal = (pace: AttemptPace, random: number, nowMs: number): void => {
    pace.refusedAtMs = nowMs;
    if (nowMs < pace.nextAttemptAtMs) {
        // Refusals of statements that were in flight at the same time count once.
        return;
    }
    pace.intervalMs = Math.min(MAXIMUM_INTERVAL_MS, Math.max(INITIAL_INTERVAL_MS, pace.intervalMs * BACKOFF_FACTOR));
    pace.nextAttemptAtMs = nowMs + pace.intervalMs * (1 / 2 + random);
};

/** Records that the instance executed a statement. */
export const recordSuccess = (pace: AttemptPace): void => {
    const intervalMs = pace.intervalMs * RECOVERY_FACTOR;
    pace.intervalMs = intervalMs < INITIAL_INTERVAL_MS / BACKOFF_FACTOR ? 0 : intervalMs;
};

/** Returns the milliseconds until a statement of the rank may be sent; 0 when it may be sent now. */
export const waitBeforeAttemptMs = (pace: AttemptPace, rank: number, nowMs: number): number =>
    Math.max(0, (rank === URGENT_RANK ? pace.refusedAtMs + URGENT_BACKOFF_MS : pace.nextAttemptAtMs) - nowMs);

/** Records that a statement of the rank is sent. The next one of a lower rank may follow after the interval. */
export const recordAttempt = (pace: AttemptPace, rank: number, nowMs: number): void => {
    if (rank !== URGENT_RANK && pace.intervalMs > 0) {
        pace.nextAttemptAtMs = nowMs + pace.intervalMs;
    }
};
