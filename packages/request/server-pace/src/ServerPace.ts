/** Pacing of the attempts that this VM makes at an instance. An attempt is a statement, with the connection that is opened for it. */
export interface ServerPace {
    /** Number of attempts that may be in flight. Below 1, one attempt per `ATTEMPT_TIME_MS / window` milliseconds. */
    window: number;
    /** Whether the window doubles in each round of on-time answers, as no sign of overload has been seen since the start or loss. */
    isSlowStart: boolean;
    /** Monotonic time of the last start, refusal or loss, in milliseconds; -Infinity when there was none. */
    troubledAtMs: number;
    /** Number of on-time answers since `troubledAtMs`. */
    onTimeCount: number;
    /** Monotonic time at which the window was last reduced, in milliseconds. Failures of earlier attempts do not reduce it again. */
    reducedAtMs: number;
    /** Monotonic time from which `pauseMs` counts, in milliseconds. */
    pausedFromMs: number;
    /** Pause before the next attempt while the window is below 1, in milliseconds. */
    pauseMs: number;
    /** Monotonic time of the last attempt, in milliseconds. */
    attemptedAtMs: number;
    /** Best latency of the present period and of the one before, in milliseconds. */
    bestLatencyMs: number;
    previousBestLatencyMs: number;
    /** Monotonic time at which the present period of `bestLatencyMs` began, in milliseconds. */
    periodStartedAtMs: number;
    /** Refusals by the instance since the pace was created. */
    refusalCount: number;
    /** Lost connections and failed openings since the pace was created. */
    lossCount: number;
}

/** What is known when an attempt failed. */
export interface FailedAttempt {
    /** Monotonic time at which the attempt, or the use of a lost connection, began, in milliseconds. */
    readonly sentAtMs: number;
    /** Number of attempts that were in flight, this one included. */
    readonly inFlightCount: number;
    /** Random number from 0 to 1, so that VMs do not return at the same time. */
    readonly random: number;
}

/** Slot time of one attempt: a new connection and a statement of mean length take 23.5 ms, at a cold instance 37.6 ms. */
const ATTEMPT_TIME_MS = 30;
/** Longest interval at the start: a new instance is tried at least this often. */
const START_INTERVAL_MS = 200;
/** Longest interval after failures, so that a recovered instance is detected. Equals the longest backoff of a pool. */
export const MAXIMUM_INTERVAL_MS = 800;
const MINIMUM_WINDOW = ATTEMPT_TIME_MS / MAXIMUM_INTERVAL_MS;
const REDUCTION_FACTOR = 0.5;
/** A late answer is a weaker sign than a refusal: the statement itself may take long. */
const LATE_REDUCTION_FACTOR = 0.85;
/** Growth in each round after the first sign of overload. */
const ADDITIVE_STEP = 0.25;
/** Statements take 3 to 20 ms, so an answer is late only well beyond the spread of their own times. */
const LATE_FACTOR = 4;
/** About the time of a full queue (32 attempts of 23.5 ms at 4 slots: 188 ms). With 40 to 140 ms more were late after a restart. */
const LATE_MARGIN_MS = 200;
const BEST_LATENCY_PERIOD_MS = 5_000;
/** On-time answers after which the window no longer limits; the fixed backoff of `pace-attempts` ends after as many. */
const RECOVERED_ANSWER_COUNT = 8;
/** Time without refusals after which the window no longer limits if the instance has answered since. */
const QUIET_MS = 2_000;
const URGENT_RANK = 0;
/** Shares of the pause that statements of the ranks from 0 on wait; lower ranks wait all of it. */
const PAUSE_SHARES: readonly number[] = [0.1];

export const createServerPace = (): ServerPace => ({
    window: 1,
    isSlowStart: true,
    troubledAtMs: -Infinity,
    onTimeCount: 0,
    reducedAtMs: -Infinity,
    pausedFromMs: -Infinity,
    pauseMs: 0,
    attemptedAtMs: -Infinity,
    bestLatencyMs: Infinity,
    previousBestLatencyMs: Infinity,
    periodStartedAtMs: -Infinity,
    refusalCount: 0,
    lossCount: 0,
});

/** Interval between attempts while the window is below 1, in milliseconds. */
export const intervalMs = ({ window }: ServerPace): number => ATTEMPT_TIME_MS / window;

/** Whether the window limits attempts now. */
export const isLimiting = ({ troubledAtMs, onTimeCount }: ServerPace, nowMs: number): boolean =>
    troubledAtMs !== -Infinity && onTimeCount < RECOVERED_ANSWER_COUNT && (onTimeCount === 0 || nowMs - troubledAtMs < QUIET_MS);

/** Latency above which an answer is late, in milliseconds; Infinity before the first answer. */
export const lateLatencyMs = ({ bestLatencyMs, previousBestLatencyMs }: ServerPace): number =>
    LATE_FACTOR * Math.min(bestLatencyMs, previousBestLatencyMs) + LATE_MARGIN_MS;

/**
 * Records that the instance has started or that this VM meets it for the first time.
 *
 * @param slotCount number of statements that the instance runs at a time
 * @param vmCount number of VMs that send to it
 * @param random random number from 0 to 1, so that VMs do not begin at the same moment
 */
export const recordStart = (pace: ServerPace, slotCount: number, vmCount: number, random: number, nowMs: number): void => {
    pace.window = Math.max(slotCount / Math.max(1, vmCount), ATTEMPT_TIME_MS / START_INTERVAL_MS);
    pace.isSlowStart = true;
    pace.troubledAtMs = nowMs;
    pace.onTimeCount = 0;
    pace.pausedFromMs = nowMs;
    pace.pauseMs = pace.window < 1 ? intervalMs(pace) * random : 0;
};

/** Records that an attempt of any rank is made. */
export const recordAttempt = (pace: ServerPace, nowMs: number): void => {
    pace.attemptedAtMs = nowMs;
    pace.pausedFromMs = nowMs;
    pace.pauseMs = pace.window < 1 ? intervalMs(pace) : 0;
};

const updateBestLatency = (pace: ServerPace, latencyMs: number, nowMs: number): void => {
    if (nowMs - pace.periodStartedAtMs >= BEST_LATENCY_PERIOD_MS) {
        pace.previousBestLatencyMs = pace.bestLatencyMs;
        pace.bestLatencyMs = Infinity;
        pace.periodStartedAtMs = nowMs;
    }
    pace.bestLatencyMs = Math.min(pace.bestLatencyMs, latencyMs);
};

const reduce = (pace: ServerPace, factor: number, sentAtMs: number, nowMs: number): boolean => {
    if (sentAtMs < pace.reducedAtMs) {
        // Attempts that were in flight together count once.
        return false;
    }
    pace.window = Math.max(MINIMUM_WINDOW, pace.window * factor);
    pace.reducedAtMs = nowMs;
    return true;
};

/** Records that the instance executed a statement. */
export const recordAnswer = (pace: ServerPace, latencyMs: number, nowMs: number): void => {
    const isLate = latencyMs > lateLatencyMs(pace);
    updateBestLatency(pace, latencyMs, nowMs);
    if (isLate) {
        pace.isSlowStart = false;
        reduce(pace, LATE_REDUCTION_FACTOR, nowMs - latencyMs, nowMs);
        return;
    }
    pace.onTimeCount++;
    pace.window += pace.isSlowStart ? Math.min(1, pace.window) : ADDITIVE_STEP / Math.max(1, pace.window);
    pace.pauseMs = pace.window < 1 ? Math.min(pace.pauseMs, intervalMs(pace)) : 0;
};

const recordFailure = (pace: ServerPace, { sentAtMs, inFlightCount, random }: FailedAttempt, nowMs: number): void => {
    if (!isLimiting(pace, nowMs)) {
        pace.window = Math.max(1, inFlightCount);
    }
    pace.troubledAtMs = nowMs;
    pace.onTimeCount = 0;
    if (reduce(pace, REDUCTION_FACTOR, sentAtMs, nowMs) && pace.window < 1) {
        pace.pausedFromMs = nowMs;
        pace.pauseMs = Math.min(MAXIMUM_INTERVAL_MS, intervalMs(pace) * (1 / 2 + random));
    }
};

/** Records that the instance refused a statement as its queue was full, or a connection as it had none left. */
export const recordRefusal = (pace: ServerPace, attempt: FailedAttempt, nowMs: number): void => {
    pace.refusalCount++;
    recordFailure(pace, attempt, nowMs);
    pace.isSlowStart = false;
};

/** Records that a connection was lost or could not be opened. The instance may have restarted, so that slow start begins again. */
export const recordLoss = (pace: ServerPace, attempt: FailedAttempt, nowMs: number): void => {
    pace.lossCount++;
    recordFailure(pace, attempt, nowMs);
    pace.isSlowStart = true;
};

/** Returns the milliseconds until the window allows a further attempt of the rank, as far as is known; 0 when it does now. */
export const waitForAttemptMs = (pace: ServerPace, inFlightCount: number, rank: number, nowMs: number): number => {
    if (!isLimiting(pace, nowMs)) {
        return 0;
    }
    const isUrgent = rank === URGENT_RANK;
    if (pace.window < 1) {
        return Math.max(0, pace.pausedFromMs + pace.pauseMs * (PAUSE_SHARES[rank] ?? 1) - nowMs);
    }
    if (inFlightCount < Math.floor(pace.window) + (isUrgent ? 1 : 0)) {
        return 0;
    }
    // An instance that does not answer what is in flight is still tried from time to time.
    return Math.max(0, Math.min(ATTEMPT_TIME_MS, pace.attemptedAtMs + MAXIMUM_INTERVAL_MS - nowMs));
};
