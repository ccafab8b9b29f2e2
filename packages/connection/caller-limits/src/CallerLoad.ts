import type { CallerLimits } from "./CallerLimits.ts";

/** Constants for the limit at which a caller is refused or closed. */
export const CallerLimit = {
    HeldBytes: "held_bytes",
    StoredBytes: "stored_bytes",
    Connections: "connections",
    UnfinishedMessage: "unfinished_message",
    UnreadAnswers: "unread_answers",
} as const;
export type CallerLimit = typeof CallerLimit[keyof typeof CallerLimit];

/** What the process holds for one caller at a moment. */
export interface CallerUse {
    /** Messages that are not finished or wait, and answers that are not read. */
    readonly waitingBytes: number;
    /** The statement that runs, with its copies. */
    readonly runningBytes: number;
    /** Settings and prepared statements of the session. */
    readonly storedBytes: number;
    /** Whether its start-up message has been accepted. */
    readonly isStarted: boolean;
    /** Whether a message has been begun and its rest is awaited. */
    readonly isUnfinished: boolean;
    /** Whether answers wait for the caller to read. */
    readonly isUnread: boolean;
}

interface Caller {
    use: CallerUse;
    readonly acceptedAtMs: number;
    unfinishedSinceMs: number | undefined;
    unreadSinceMs: number | undefined;
    /** Whether nothing is read from the caller because the process holds much. */
    isPaused: boolean;
    /** Whether a paused caller may send the rest of its message in spite of the load. */
    isPermitted: boolean;
}

/** What the process holds for its callers, in the order in which they were accepted. */
export interface CallerLoad {
    readonly limits: CallerLimits;
    readonly callers: Map<number, Caller>;
    /** Sums over all callers. */
    waitingBytes: number;
    runningBytes: number;
    storedBytes: number;
    /** Buffers that may have become garbage since the last collection. */
    garbageBytes: number;
}

/** A caller to close, and the limit that it has met. */
export interface CallerClosure {
    readonly id: number;
    readonly limit: CallerLimit;
}

/** Share of the byte limit for what sessions store. */
const STORED_SHARE = 0.5;
/** Share of the byte limit above which callers that hold much are paused. */
const PAUSE_SHARE = 0.25;
/** Callers that hold less are not paused: a statement of ordinary size is still served under load. */
const SMALL_HOLDING_BYTES = 16_384;
/** Bytes of the limit for each paused caller that may send the rest of its message: the message and its copies while it runs. */
const PERMIT_BYTES = 4_194_304;
/** Share of the byte limit for statements that run at the same time. */
const RUNNING_SHARE = 0.5;
/** Share of the byte limit for buffers that are not used any more and not collected yet. */
const GARBAGE_SHARE = 0.5;
/** Smaller reads are not counted: V8 collects their buffers soon enough. */
const LARGE_READ_BYTES = 16_384;
/** Buffers that each byte of a large message passes through: that of the read, and those of the message as it grows. */
const BUFFER_COPIES = 2;
/** What one read from a connection may add. */
const READ_BYTES = 65_536;
/** A connection without a start-up message is closed for another one when it is older. */
const STARTUP_TIME_MS = 1_000;

const NO_USE: CallerUse = {
    waitingBytes: 0,
    runningBytes: 0,
    storedBytes: 0,
    isStarted: false,
    isUnfinished: false,
    isUnread: false,
};

export const createCallerLoad = (limits: CallerLimits): CallerLoad => ({
    limits,
    callers: new Map(),
    waitingBytes: 0,
    runningBytes: 0,
    storedBytes: 0,
    garbageBytes: 0,
});

/** Adds what is held for one caller to the sums, or subtracts it. */
const addToSums = (load: CallerLoad, { waitingBytes, runningBytes, storedBytes }: CallerUse, sign: 1 | -1): void => {
    load.waitingBytes += sign * waitingBytes;
    load.runningBytes += sign * runningBytes;
    load.storedBytes += sign * storedBytes;
};

/** Decides whether a new connection is accepted. @returns the connection to close for it, if the limit is reached */
export const decideAccept = (load: CallerLoad, nowMs: number): { readonly isAccepted: boolean; readonly closedId?: number; } => {
    if (load.callers.size < load.limits.connections) {
        return { isAccepted: true };
    }
    for (const [closedId, { use, acceptedAtMs }] of load.callers) {
        if (!use.isStarted && nowMs - acceptedAtMs > STARTUP_TIME_MS) {
            return { isAccepted: true, closedId };
        }
    }
    return { isAccepted: false };
};

export const addCaller = (load: CallerLoad, id: number, nowMs: number): void => {
    load.callers.set(id, {
        use: NO_USE,
        acceptedAtMs: nowMs,
        unfinishedSinceMs: undefined,
        unreadSinceMs: undefined,
        isPaused: false,
        isPermitted: false,
    });
};

export const removeCaller = (load: CallerLoad, id: number): void => {
    const caller = load.callers.get(id);
    if (caller !== undefined) {
        addToSums(load, caller.use, -1);
        load.callers.delete(id);
    }
};

/** Records what is held for a caller now. */
export const recordUse = (load: CallerLoad, id: number, use: CallerUse, nowMs: number): void => {
    const caller = load.callers.get(id);
    if (caller === undefined) {
        return;
    }
    addToSums(load, caller.use, -1);
    addToSums(load, use, 1);
    caller.use = use;
    caller.unfinishedSinceMs = use.isUnfinished ? caller.unfinishedSinceMs ?? nowMs : undefined;
    caller.unreadSinceMs = use.isUnread ? caller.unreadSinceMs ?? nowMs : undefined;
    caller.isPermitted &&= use.isUnfinished;
};

const findLargest = (load: CallerLoad, measure: (use: CallerUse) => number): number | undefined => {
    let largest: number | undefined;
    let largestBytes = 0;
    for (const [id, { use }] of load.callers) {
        if (measure(use) > largestBytes) {
            largest = id;
            largestBytes = measure(use);
        }
    }
    return largest;
};

/**
 * Chooses the caller to close first while the process holds too much. What a running statement takes does not count: breaking it off
 * would leave its outcome unknown.
 */
export const chooseOverload = (load: CallerLoad): CallerClosure | undefined => {
    const { waitingBytes, runningBytes, storedBytes } = load;
    const { heldBytes } = load.limits;
    const isOverstored = storedBytes > STORED_SHARE * heldBytes;
    if (!isOverstored && waitingBytes + runningBytes + storedBytes <= heldBytes) {
        return undefined;
    }
    const id = findLargest(load, use => use.storedBytes + (isOverstored ? 0 : use.waitingBytes));
    return id === undefined ? undefined : { id, limit: isOverstored ? CallerLimit.StoredBytes : CallerLimit.HeldBytes };
};

/** Records a read from a caller. @returns whether unused buffers have to be collected now */
export const recordRead = (load: CallerLoad, readBytes: number): boolean => {
    load.garbageBytes += readBytes < LARGE_READ_BYTES ? 0 : BUFFER_COPIES * readBytes;
    const isCollectionDue = load.garbageBytes > GARBAGE_SHARE * load.limits.heldBytes;
    load.garbageBytes = isCollectionDue ? 0 : load.garbageBytes;
    return isCollectionDue;
};

/** Bytes that can be read before callers are paused; negative when they are. */
const countFreeBytes = ({ waitingBytes, runningBytes, limits }: CallerLoad): number =>
    PAUSE_SHARE * limits.heldBytes - waitingBytes - runningBytes;

/** Decides whether the process goes on reading from a caller. A caller that is refused stays paused until `takeResumed` returns it. */
export const mayRead = (load: CallerLoad, id: number): boolean => {
    const caller = load.callers.get(id);
    if (caller === undefined) {
        return false;
    }
    caller.isPaused = countFreeBytes(load) < 0 && caller.use.waitingBytes > SMALL_HOLDING_BYTES && !caller.isPermitted;
    return !caller.isPaused;
};

/**
 * Chooses paused callers to read from again: as many as there is room for, and with no room the first few of them, so that their
 * messages are finished and run.
 */
export const takeResumed = (load: CallerLoad): readonly number[] => {
    const resumed: number[] = [];
    let freeBytes = countFreeBytes(load);
    let permitCount = Math.max(1, Math.floor(PAUSE_SHARE * load.limits.heldBytes / PERMIT_BYTES));
    for (const { isPermitted } of load.callers.values()) {
        permitCount -= isPermitted ? 1 : 0;
    }
    for (const [id, caller] of load.callers) {
        if (!caller.isPaused) {
            continue;
        }
        if (freeBytes >= 0 || caller.use.waitingBytes <= SMALL_HOLDING_BYTES) {
            freeBytes -= READ_BYTES;
        }
        else if (permitCount > 0 && caller.use.isUnfinished) {
            caller.isPermitted = true;
            permitCount--;
        }
        else {
            continue;
        }
        caller.isPaused = false;
        resumed.push(id);
    }
    return resumed;
};

/** Decides whether a statement may start, which takes this many bytes while it runs. One large statement may always run. */
export const mayStart = ({ runningBytes, limits }: CallerLoad, startedBytes: number): boolean =>
    startedBytes <= SMALL_HOLDING_BYTES || runningBytes === 0 || runningBytes + startedBytes <= RUNNING_SHARE * limits.heldBytes;

/** @returns the callers that have not finished a message or not read their answers in time */
export const findExpired = (load: CallerLoad, nowMs: number): readonly CallerClosure[] => {
    const { unfinishedMessageMs, unreadAnswersMs } = load.limits;
    const expired: CallerClosure[] = [];
    for (const [id, { unfinishedSinceMs = nowMs, unreadSinceMs = nowMs }] of load.callers) {
        if (nowMs - unfinishedSinceMs > unfinishedMessageMs) {
            expired.push({ id, limit: CallerLimit.UnfinishedMessage });
        }
        else if (nowMs - unreadSinceMs > unreadAnswersMs) {
            expired.push({ id, limit: CallerLimit.UnreadAnswers });
        }
    }
    return expired;
};
