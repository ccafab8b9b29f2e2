/** Slots, queues and floors of one instance. */

/** A request that waits for a slot or has one. */
export interface AdmissionItem {
    readonly id: number;
    /** Index into the service's ranks; 0 is the most urgent. */
    readonly rank: number;
    /** Monotonic time, in milliseconds. */
    readonly deadlineAtMs: number;
    readonly sizeBytes: number;
    /** Whether the request belongs to a transaction that is open on the instance, and so may hold locks. */
    readonly isPinned: boolean;
}

/** A request in a queue. */
export interface WaitingItem extends AdmissionItem {
    readonly arrivedAtMs: number;
}

/** A request that has a slot. */
export interface RunningItem extends AdmissionItem {
    readonly startedAtMs: number;
}

/** The part of a rank's configuration that admission needs. */
export interface AdmissionRank {
    /** Share of the instance's slot time that the rank keeps, 0 to 1. */
    readonly floorShare: number;
    /** Usual deadline of the rank's requests. */
    readonly deadlineMs: number;
}

/** Queue and account of one rank. */
export interface RankState {
    readonly queue: WaitingItem[];
    queuedBytes: number;
    runningCount: number;
    /** Slot time that the rank has earned by its floor and not used, in milliseconds; negative after use beyond it. */
    deficitMs: number;
    /** Smoothed time that a request of the rank holds its slot. */
    serviceTimeMs: number;
    /** Longest time that a request held its slot in about the last 10 s. */
    longestServiceMs: number;
    /** Smoothed time between two starts while requests of the rank wait. */
    startIntervalMs: number;
    lastStartedAtMs: number;
}

/** Limits and ranks of an instance. */
export interface AdmissionOptions {
    readonly slots: number;
    readonly ranks: readonly AdmissionRank[];
    /** Requests that may wait, by rank. */
    readonly queueLimit: number;
    /** Bytes of requests that may wait, by rank. */
    readonly queueLimitBytes: number;
}

/** Slots and queues of one instance. */
export interface AdmissionState {
    options: AdmissionOptions;
    /** At least one for each rank of the options. */
    readonly ranks: RankState[];
    readonly running: Map<number, RunningItem>;
    /** Running requests of open transactions. */
    pinnedCount: number;
    advancedAtMs: number;
}

/** Service time that is assumed of a rank before its first request has finished. */
const INITIAL_SERVICE_TIME_MS = 10;

const createRank = (slots: number, nowMs: number): RankState => ({
    queue: [],
    queuedBytes: 0,
    runningCount: 0,
    deficitMs: 0,
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    longestServiceMs: INITIAL_SERVICE_TIME_MS,
    startIntervalMs: INITIAL_SERVICE_TIME_MS / slots,
    lastStartedAtMs: nowMs,
});

/** @param nowMs monotonic time in milliseconds */
export const createAdmission = (options: AdmissionOptions, nowMs: number): AdmissionState => ({
    options,
    ranks: options.ranks.map(() => createRank(options.slots, nowMs)),
    running: new Map(),
    pinnedCount: 0,
    advancedAtMs: nowMs,
});

/** Puts another configuration in force. Requests of a rank that is gone are still served, without a floor. */
export const setAdmissionOptions = (state: AdmissionState, options: AdmissionOptions): void => {
    state.options = options;
    while (state.ranks.length < options.ranks.length) {
        state.ranks.push(createRank(options.slots, state.advancedAtMs));
    }
};
