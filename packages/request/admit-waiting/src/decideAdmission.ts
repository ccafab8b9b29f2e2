import { type ConnectionUse, urgentShare } from "./ConnectionUse.ts";

/** Queue of the requests that wait for a connection to an instance, as a new request finds it. */
export interface WaitingQueue {
    readonly use: ConnectionUse;
    /** Number of waiting requests that will be served before the new one. */
    readonly aheadCount: number;
    /** Number of connections that serve requests of this rank. */
    readonly connectionCount: number;
    /** Number of connections that are idle or may still be opened. */
    readonly freeCount: number;
}

/** Whether a request may wait. A refused one was not sent. */
export type Admission =
    | { readonly isAdmitted: true; }
    /** `retryAfterMs`: time after which the queue is expected to have room, in milliseconds. */
    | { readonly isAdmitted: false; readonly retryAfterMs: number; };

const ADMITTED: Admission = { isAdmitted: true };

/**
 * Returns the expected wait for a connection, in milliseconds; 0 when one is free or nothing is known of the instance.
 *
 * Requests that are more urgent overtake those that wait, so only the rest of the connections counts. A queue in which no
 * connection has changed hands for a while is taken to stand still for as long again, as when the instance is dead.
 */
export const estimateWaitMs = ({ use, aheadCount, connectionCount, freeCount }: WaitingQueue, rank: number, nowMs: number): number => {
    if (aheadCount < freeCount || use.meanMs === 0) {
        return 0;
    }
    const usableCount = Math.max(1, connectionCount);
    const drainMs = (aheadCount - freeCount + 1) * use.meanMs / (usableCount * (1 - urgentShare(use, rank, usableCount)));
    return Math.max(drainMs, freeCount > 0 ? 0 : nowMs - use.progressedAtMs - use.meanMs);
};

/**
 * Decides whether a request may wait for a connection.
 *
 * Load pattern: a burst of one kind of request beyond what the instance can run. A queue that is longer than the time
 * limit serves its requests just too late; they hold their callers and gain nothing. Refused callers return spread over
 * the time in which the queue drains, so that they do not meet again.
 *
 * @param waitMs the expected wait, from `estimateWaitMs`
 * @param limitMs time for which the request may wait, in milliseconds
 * @param random random number from 0 to 1
 */
export const decideAdmission = (waitMs: number, limitMs: number, random: number): Admission =>
    waitMs <= limitMs ? ADMITTED : { isAdmitted: false, retryAfterMs: (waitMs - limitMs) + waitMs * random };
