import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { Coverage, coversPosition, type GroupHistory } from "./coversPosition.ts";

/** How fresh a read must be. */
export interface FreshnessRequirement {
    /** Position that the data must cover; undefined when any will do. */
    readonly position: LogPosition | undefined;
    /** Largest age of the data in milliseconds; undefined when any will do. */
    readonly maximumAgeMs: number | undefined;
}

/** What an instance must prove on its connection, in the same round trip as the read. */
export interface FreshnessProof {
    /** Position that the replay must cover; term 0 when any will do. */
    readonly requiredPosition: LogPosition;
    /** Monotonic time of this VM after which the age bound is not proved any more; infinite without a bound. */
    readonly validUntilMs: number;
    /** Whether the replica's last report covers the position already, or there is no report to say otherwise. */
    readonly isReported: boolean;
}

const NO_POSITION: LogPosition = { term: 0, position: 0 };

/**
 * Decides whether a replica may be asked for a read, and what it must prove. An age is proved by a sample:
 * data that covers a position which the primary had at a time is at most as old as that time.
 *
 * @param status undefined when nothing is known of the replica; its connection then has to prove the position
 * @param nowMs monotonic time in milliseconds
 * @returns undefined when the replica cannot serve the read
 */
export const proveFreshness = (
    read: FreshnessRequirement,
    status: InstanceStatus | undefined,
    group: GroupHistory,
    nowMs: number,
): FreshnessProof | undefined => {
    const required = read.position ?? NO_POSITION;
    if (status === undefined) {
        return read.maximumAgeMs === undefined ? { requiredPosition: required, validUntilMs: Infinity, isReported: true } : undefined;
    }
    const coverage = coversPosition(status.replayed, required, group);
    if (!status.isReachable || (coverage !== Coverage.Covered && coverage !== Coverage.Behind)) {
        return undefined;
    }
    const isReported = coverage === Coverage.Covered;
    return read.maximumAgeMs === undefined
        ? { requiredPosition: required, validUntilMs: Infinity, isReported }
        : proveAge(required, read.maximumAgeMs, status, group, nowMs);
};

const proveAge = (
    required: LogPosition,
    maximumAgeMs: number,
    { primarySample, primarySampledAtMs, replayed }: InstanceStatus,
    group: GroupHistory,
    nowMs: number,
): FreshnessProof | undefined => {
    const validUntilMs = primarySampledAtMs + maximumAgeMs;
    const isSampled = primarySample.term !== 0 && coversPosition(replayed, primarySample, group) === Coverage.Covered;
    if (!isSampled || nowMs > validUntilMs) {
        return undefined;
    }
    const requiredPosition = primarySample.position > required.position ? primarySample : required;
    return { requiredPosition, validUntilMs, isReported: required.position <= replayed.position };
};
