import type { LogPosition } from "./LogPosition.ts";

/** Replay position, free slots and queue of an instance, from the last report of its holder. */
export interface InstanceStatus {
    readonly replayed: LogPosition;
    /** Position that the primary had reached by `primarySampledAtMs`. */
    readonly primarySample: LogPosition;
    /** Monotonic time of this VM by which the primary had reached `primarySample`, in milliseconds. */
    readonly primarySampledAtMs: number;
    /** Monotonic time of this VM at which the report was received, in milliseconds. */
    readonly receivedAtMs: number;
    readonly freeSlots: number;
    /** Number of queued requests, by rank. */
    readonly queued: readonly number[];
    /** Number of requests that this VM may send before the next report, by rank. */
    readonly credits: readonly number[];
    readonly isReachable: boolean;
    /** Moving average of a statement's service time, in microseconds. */
    readonly serviceTimeUs: number;
}

/** Returns the key of an instance in maps that hold the instances of all groups. */
export const instanceKey = (group: string, instance: string): string => `${group}/${instance}`;
