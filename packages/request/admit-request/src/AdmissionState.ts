/** State of admission control for one instance: slots, queues and floors. */

/** A request that waits for a slot or holds one. */
export interface AdmissionRequest {
    readonly id: number;
    /** Index into the service's ranks; 0 is the most urgent. */
    readonly rank: number;
    /** Monotonic time of the deadline, in milliseconds. */
    readonly deadlineAtMs: number;
    readonly sizeBytes: number;
    /** Whether the request belongs to a transaction that is open on the instance and may hold locks there. */
    readonly isPinned: boolean;
}

/** A request that waits in a queue. */
export interface WaitingRequest extends AdmissionRequest {
    readonly arrivedAtMs: number;
}

/** A request that holds a slot. */
export interface RunningRequest extends AdmissionRequest {
    readonly startedAtMs: number;
}

/** Configuration of a rank, as far as admission control needs it. */
export interface AdmissionRank {
    /** Share of the instance's slot time that is reserved for the rank, 0 to 1. */
    readonly floorShare: number;
    /** Usual deadline of the rank's requests. */
    readonly deadlineMs: number;
}

/** Queue, service times and floor accounting of one rank. */
export interface RankState {
    readonly queue: WaitingRequest[];
    queuedBytes: number;
    runningCount: number;
    /** Slot time that the rank's floor has accrued and the rank has not used; negative after use beyond the floor. */
    deficitMs: number;
    /** Moving average of the time for which a request of the rank holds its slot. */
    serviceTimeMs: number;
    /** Longest time for which a request of the rank held its slot in about the last 10 s. */
    longestServiceTimeMs: number;
    /** Moving average of the time between two starts while requests of the rank wait. */
    startIntervalMs: number;
    lastStartedAtMs: number;
}

/** Limits and ranks of an instance's admission control. */
export interface AdmissionOptions {
    readonly slots: number;
    readonly ranks: readonly AdmissionRank[];
    /** Largest number of waiting requests of each rank. */
    readonly queueLimit: number;
    /** Largest size of all waiting requests of each rank. */
    readonly queueLimitBytes: number;
}

/** Queues and running requests of one instance. */
export interface AdmissionState {
    options: AdmissionOptions;
    /** Has an entry for each rank of the options, and possibly for ranks that were removed from them. */
    readonly ranks: RankState[];
    readonly running: Map<number, RunningRequest>;
    /** Number of running requests that belong to open transactions. */
    pinnedCount: number;
    /** Monotonic time up to which the floor deficits are accounted, in milliseconds. */
    deficitsUpdatedAtMs: number;
}

/** Service time that is assumed for a rank until its first request has finished. */
const INITIAL_SERVICE_TIME_MS = 10;

const createRank = (slots: number, nowMs: number): RankState => ({
    queue: [],
    queuedBytes: 0,
    runningCount: 0,
    deficitMs: 0,
    serviceTimeMs: INITIAL_SERVICE_TIME_MS,
    longestServiceTimeMs: INITIAL_SERVICE_TIME_MS,
    startIntervalMs: INITIAL_SERVICE_TIME_MS / slots,
    lastStartedAtMs: nowMs,
});

/**
 * Creates the state of an instance without any requests.
 *
 * @param nowMs monotonic time in milliseconds
 */
export const createAdmissionState = (options: AdmissionOptions, nowMs: number): AdmissionState => ({
    options,
    ranks: options.ranks.map(() => createRank(options.slots, nowMs)),
    running: new Map(),
    pinnedCount: 0,
    deficitsUpdatedAtMs: nowMs,
});

/** Applies a changed configuration. Queued requests of a removed rank are still served, but without a floor. */
export const setAdmissionOptions = (state: AdmissionState, options: AdmissionOptions): void => {
    state.options = options;
    while (state.ranks.length < options.ranks.length) {
        state.ranks.push(createRank(options.slots, state.deficitsUpdatedAtMs));
    }
};
