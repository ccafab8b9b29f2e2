/** Time after which the load balancer has taken this VM out of rotation. */
const OUT_OF_ROTATION_MS = 2_300;
/** Largest share of the grace period that this may take. */
const OUT_OF_ROTATION_SHARE = 0.4;
/** Share of the grace period for which a transaction may continue, from the start of the shutdown or from its own start. */
const TRANSACTION_SHARE = 0.5;
/** Time before the end of the grace period at which the process exits. */
const EXIT_MARGIN_MS = 600;
/** Share of the grace period for which the process runs at least when there is work. */
const MINIMUM_RUN_SHARE = 0.5;

/** Time over which sessions are closed, so that they do not all reconnect to other VMs at the same time. */
export const CLOSE_SPREAD_MS = 500;

/** State of an entry's shutdown, on which no other process depends. Times are monotonic milliseconds. */
export interface EntryDrainState {
    readonly startedAtMs: number;
    /** Grace period, after which the process has to have exited. */
    readonly graceMs: number;
    /** Number of idle sessions when their closing began; undefined before. */
    initialIdleCount: number | undefined;
    /** Number of idle sessions that have been closed. */
    closedIdleCount: number;
    /** Time from which no new callers are accepted; undefined before. */
    stoppedAcceptingAtMs: number | undefined;
}

export const createEntryDrain = (graceMs: number, nowMs: number): EntryDrainState => ({
    startedAtMs: nowMs,
    graceMs,
    initialIdleCount: undefined,
    closedIdleCount: 0,
    stoppedAcceptingAtMs: undefined,
});

/** Returns the time from the start of the shutdown until the load balancer has taken this VM out of rotation. */
export const outOfRotationMs = ({ graceMs }: EntryDrainState): number => Math.min(OUT_OF_ROTATION_MS, graceMs * OUT_OF_ROTATION_SHARE);

/** Returns the monotonic time at which the process exits at the latest. */
export const exitAtMs = ({ startedAtMs, graceMs }: EntryDrainState): number =>
    startedAtMs + Math.max(graceMs * MINIMUM_RUN_SHARE, graceMs - EXIT_MARGIN_MS);

/** Returns the time for which a transaction may continue, from the start of the shutdown or from its own start. */
export const transactionLimitMs = ({ graceMs }: EntryDrainState): number => graceMs * TRANSACTION_SHARE;
