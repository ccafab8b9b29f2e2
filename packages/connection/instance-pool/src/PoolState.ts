/** Connection counts and limits of a pool. */
export interface PoolState {
    idleCount: number;
    busyCount: number;
    openingCount: number;
    /** Maximum number of connections that are open or being opened; lowered while the instance has none left. */
    limit: number;
    /** Value of `limit` by the configuration, to which it returns step by step after a refusal. */
    configuredLimit: number;
    /** Number of connections that the longer idle timeout applies to. */
    coreConnectionCount: number;
    /** Monotonic time in milliseconds before which no connection is opened. */
    backoffUntilMs: number;
    /** Consecutive failures to open a connection. */
    failureCount: number;
    /** Monotonic time in milliseconds at which `limit` was last lowered or raised. */
    limitChangedAtMs: number;
    /** Idle time after which a connection beyond `coreConnectionCount` is closed; reduced while the instance has none left. */
    excessIdleTimeoutMs: number;
    /** Value of `excessIdleTimeoutMs` while the instance accepts connections. */
    configuredExcessIdleTimeoutMs: number;
}

/** Limit on concurrent connection attempts, so that start-up messages do not take all of an instance's slots. */
const MAXIMUM_OPENING_CONNECTIONS = 2;
const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 800;
/** Interval in which the limit grows by one after the instance had no connections left. */
const LIMIT_GROWTH_INTERVAL_MS = 500;
/** Idle timeout of connections beyond `coreConnectionCount`; reduced while the instance has no connections left. */
const EXCESS_IDLE_TIMEOUT_MS = 400;
/** Idle timeout of connections beyond `coreConnectionCount` if the instance has fewer connections than VMs. */
const SCARCE_EXCESS_IDLE_TIMEOUT_MS = 120;
const MINIMUM_EXCESS_IDLE_TIMEOUT_MS = 40;
const EXCESS_IDLE_TIMEOUT_GROWTH_FACTOR = 1.05;
/** Each VM may use this multiple of its share of an instance's connections, as VMs rarely use all of them at once. */
const OVERCOMMIT_FACTOR = 2;
const MINIMUM_CONNECTION_LIMIT = 2;
const CORE_IDLE_TIMEOUT_MS = 45_000;
/** Connection limit from which on one connection is reserved for the most urgent rank. */
const MINIMUM_LIMIT_FOR_RESERVE = 3;

export const createPoolState = (): PoolState => ({
    idleCount: 0,
    busyCount: 0,
    openingCount: 0,
    limit: 1,
    configuredLimit: 1,
    coreConnectionCount: 1,
    backoffUntilMs: 0,
    failureCount: 0,
    limitChangedAtMs: -Infinity,
    excessIdleTimeoutMs: EXCESS_IDLE_TIMEOUT_MS,
    configuredExcessIdleTimeoutMs: EXCESS_IDLE_TIMEOUT_MS,
});

/**
 * Sets the limits of a pool from its share of the instance's connections.
 *
 * @param connectionLimit maximum number of connections to the instance from all VMs
 * @param vmCount number of VMs that connect to the instance
 */
export const updateLimits = (state: PoolState, connectionLimit: number, vmCount: number): void => {
    const share = Math.floor(connectionLimit / Math.max(1, vmCount));
    const isUnrestricted = state.limit === state.configuredLimit;
    state.configuredLimit = Math.max(MINIMUM_CONNECTION_LIMIT, OVERCOMMIT_FACTOR * share);
    state.coreConnectionCount = Math.min(1, share);
    state.configuredExcessIdleTimeoutMs = share < 1 ? SCARCE_EXCESS_IDLE_TIMEOUT_MS : EXCESS_IDLE_TIMEOUT_MS;
    state.limit = isUnrestricted ? state.configuredLimit : Math.min(state.limit, state.configuredLimit);
};

const countConnections = ({ idleCount, busyCount, openingCount }: PoolState): number => idleCount + busyCount + openingCount;

/** Whether a further connection may be opened now, as far as the number of open ones allows it. */
export const isOpeningAllowed = (state: PoolState, nowMs: number): boolean =>
    nowMs >= state.backoffUntilMs && state.openingCount < (state.failureCount > 0 ? 1 : MAXIMUM_OPENING_CONNECTIONS);

/** Whether the pool has as many connections as it may have. */
export const isFull = (state: PoolState): boolean => countConnections(state) >= state.limit;

/** Whether a request of this rank may use an idle connection; one is reserved for rank 0. */
export const isAssignable = (state: PoolState, rank: number): boolean =>
    rank === 0 || state.limit < MINIMUM_LIMIT_FOR_RESERVE || state.busyCount < countUsable(state, rank);

/** Number of connections that requests of this rank may use at the same time. */
export const countUsable = (state: PoolState, rank: number): number =>
    rank === 0 || state.limit < MINIMUM_LIMIT_FOR_RESERVE ? state.limit : state.limit - 1;

/** Number of connections that are idle or may be opened for requests of this rank. */
export const countFree = (state: PoolState, rank: number): number => Math.max(0, countUsable(state, rank) - state.busyCount);

export const recordOpened = (state: PoolState): void => {
    state.failureCount = 0;
};

/** Delays the next attempt after a connection could not be opened. */
export const recordOpenFailure = (state: PoolState, nowMs: number): void => {
    state.failureCount++;
    state.backoffUntilMs = nowMs + Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (state.failureCount - 1));
};

/** Lowers the limit to the present number of connections, because the instance has none left. */
export const recordExhausted = (state: PoolState, nowMs: number): void => {
    state.limit = Math.max(1, countConnections(state));
    state.limitChangedAtMs = nowMs;
    state.backoffUntilMs = nowMs + INITIAL_BACKOFF_MS;
    state.excessIdleTimeoutMs = Math.max(MINIMUM_EXCESS_IDLE_TIMEOUT_MS, state.excessIdleTimeoutMs / 2);
};

/** Raises `limit` and `excessIdleTimeoutMs` step by step to their configured values. Must be called regularly. */
export const restoreLimits = (state: PoolState, nowMs: number): void => {
    state.excessIdleTimeoutMs = Math.min(
        state.configuredExcessIdleTimeoutMs,
        state.excessIdleTimeoutMs * EXCESS_IDLE_TIMEOUT_GROWTH_FACTOR,
    );
    if (state.limit < state.configuredLimit && nowMs - state.limitChangedAtMs >= LIMIT_GROWTH_INTERVAL_MS) {
        state.limit++;
        state.limitChangedAtMs = nowMs;
    }
};

/** Whether the longest idle connection has exceeded its idle timeout. */
export const isIdleTooLong = (state: PoolState, idleMs: number): boolean =>
    idleMs > (countConnections(state) > state.coreConnectionCount ? state.excessIdleTimeoutMs : CORE_IDLE_TIMEOUT_MS);
