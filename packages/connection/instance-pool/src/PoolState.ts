/** Counts of a pool that its decisions depend on. */
export interface PoolState {
    idleCount: number;
    busyCount: number;
    openingCount: number;
    waitingCount: number;
    /** Connections that this VM may have open to the instance. */
    limit: number;
    /** Set by the configuration; `limit` returns to it after the instance refused a connection. */
    fullLimit: number;
    /** Connections that are worth keeping open while they are idle. */
    keptCount: number;
    /** Monotonic time before which no connection is opened. */
    backoffUntilMs: number;
    failureCount: number;
    /** Monotonic time of the last change of `limit` after a refusal. */
    limitedAtMs: number;
    /** Idle time after which a connection beyond `keptCount` is closed. */
    spareIdleMs: number;
    /** Value of `spareIdleMs` while the instance refuses no connection. */
    fullSpareIdleMs: number;
}

/** Connections that are opened at the same time, so that an instance's slots are not all taken by greetings. */
const OPENING_LIMIT = 2;
const FIRST_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 800;
/** After a refusal for want of connections the limit grows by one in each of these intervals. */
const LIMIT_GROWTH_INTERVAL_MS = 500;
/** Idle connections beyond `keptCount` are closed after this time; sooner while the instance has no connection left. */
const SPARE_IDLE_MS = 400;
/** The same where there are fewer connections than VMs. */
const SCARCE_SPARE_IDLE_MS = 120;
const SHORTEST_SPARE_IDLE_MS = 40;
const SPARE_IDLE_GROWTH = 1.05;
/** A VM may have this many times its share of an instance's connections, as they are seldom all wanted at once. */
const BORROWING_FACTOR = 2;
const MINIMUM_LIMIT = 2;
const KEPT_IDLE_MS = 45_000;
/** From this limit on, one connection is left to the most urgent rank. */
const RESERVING_LIMIT = 3;

export const createPoolState = (): PoolState => ({
    idleCount: 0,
    busyCount: 0,
    openingCount: 0,
    waitingCount: 0,
    limit: 1,
    fullLimit: 1,
    keptCount: 1,
    backoffUntilMs: 0,
    failureCount: 0,
    limitedAtMs: -Infinity,
    spareIdleMs: SPARE_IDLE_MS,
    fullSpareIdleMs: SPARE_IDLE_MS,
});

/**
 * Sets the limits of a pool from the connections that all VMs share.
 *
 * @param connectionLimit connections that the instance takes, of all callers
 * @param vmCount VMs that open connections to it
 */
export const shareLimit = (state: PoolState, connectionLimit: number, vmCount: number): void => {
    const share = Math.floor(connectionLimit / Math.max(1, vmCount));
    const isFull = state.limit === state.fullLimit;
    state.fullLimit = Math.max(MINIMUM_LIMIT, BORROWING_FACTOR * share);
    state.keptCount = Math.min(1, share);
    state.fullSpareIdleMs = share < 1 ? SCARCE_SPARE_IDLE_MS : SPARE_IDLE_MS;
    state.limit = isFull ? state.fullLimit : Math.min(state.limit, state.fullLimit);
};

const openCount = ({ idleCount, busyCount, openingCount }: PoolState): number => idleCount + busyCount + openingCount;

/** How many connections to open now. */
export const countToOpen = (state: PoolState, nowMs: number): number => {
    if (nowMs < state.backoffUntilMs) {
        return 0;
    }
    const openingLimit = state.failureCount > 0 ? 1 : OPENING_LIMIT;
    const wanted = state.waitingCount - state.openingCount;
    return Math.max(0, Math.min(wanted, openingLimit - state.openingCount, state.limit - openCount(state)));
};

/** Whether an idle connection may go to a request of this rank. */
export const mayAssign = (state: PoolState, rank: number): boolean =>
    rank === 0 || state.limit < RESERVING_LIMIT || state.busyCount < state.limit - 1;

export const recordOpened = (state: PoolState): void => {
    state.failureCount = 0;
};

/** Opening failed: the next attempt waits. */
export const recordOpenFailure = (state: PoolState, nowMs: number): void => {
    state.failureCount++;
    state.backoffUntilMs = nowMs + Math.min(MAXIMUM_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (state.failureCount - 1));
};

/** The instance has no connection left: this VM keeps to what it has for a while. */
export const recordExhausted = (state: PoolState, nowMs: number): void => {
    state.limit = Math.max(1, openCount(state));
    state.limitedAtMs = nowMs;
    state.backoffUntilMs = nowMs + FIRST_BACKOFF_MS;
    state.spareIdleMs = Math.max(SHORTEST_SPARE_IDLE_MS, state.spareIdleMs / 2);
};

/** Lets the limit grow back. */
export const regrowLimit = (state: PoolState, nowMs: number): void => {
    state.spareIdleMs = Math.min(state.fullSpareIdleMs, state.spareIdleMs * SPARE_IDLE_GROWTH);
    if (state.limit < state.fullLimit && nowMs - state.limitedAtMs >= LIMIT_GROWTH_INTERVAL_MS) {
        state.limit++;
        state.limitedAtMs = nowMs;
    }
};

/** Whether the connection that has been idle longest is closed. */
export const isIdleTooLong = (state: PoolState, idleMs: number): boolean =>
    idleMs > (openCount(state) > state.keptCount ? state.spareIdleMs : KEPT_IDLE_MS);
