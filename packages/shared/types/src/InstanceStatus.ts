import type { LogPosition } from "./LogPosition.ts";

/** What is known of an instance's replay, slots and queue, from its holder's reports. */
export interface InstanceStatus {
    readonly replayed: LogPosition;
    /** A position that the primary had at `primarySampledAtMs`. */
    readonly primarySample: LogPosition;
    /** Monotonic time of this VM before which the primary had reached `primarySample`, in milliseconds. */
    readonly primarySampledAtMs: number;
    /** Monotonic time of this VM at which the report came in. */
    readonly receivedAtMs: number;
    readonly freeSlots: number;
    /** Requests waiting, by rank. */
    readonly queued: readonly number[];
    /** Requests that may still be sent before the next report, by rank. */
    readonly credits: readonly number[];
    readonly isReachable: boolean;
    /** Smoothed service time of a statement, in microseconds. */
    readonly serviceTimeUs: number;
}

/** Key of an instance in maps over all groups. */
export const instanceKey = (group: string, instance: string): string => `${group}/${instance}`;
