import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { Coverage, type GroupHistory, positionCoverage } from "./positionCoverage.ts";

/** Freshness that a read requires. */
export interface FreshnessRequirement {
    /** Position that the data must cover; undefined accepts any position. */
    readonly position: LogPosition | undefined;
    /** Largest accepted age of the data in milliseconds; undefined accepts any age. */
    readonly maximumAgeMs: number | undefined;
}

/** What a replica must prove on its connection, in the same round trip as the read. */
export interface FreshnessProof {
    /** Position that the replica must have replayed; term 0 accepts any position. */
    readonly requiredPosition: LogPosition;
    /** Monotonic time of this VM until which the position proves the age limit, in milliseconds; Infinity without a limit. */
    readonly validUntilMs: number;
    /** Whether the replica's last report already covers the position; also true when there is no report. */
    readonly isPositionReported: boolean;
}

const NO_POSITION: LogPosition = { term: 0, position: 0 };

/**
 * Decides whether a replica may serve a read, and what it must prove. A sample of the primary's position proves the age:
 * data that covers a position which the primary had at some time is no older than that time.
 *
 * @param status last report on the replica; undefined when there is none, so that only its connection can prove the position
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
        return read.maximumAgeMs === undefined
            ? { requiredPosition: required, validUntilMs: Infinity, isPositionReported: true }
            : undefined;
    }
    const coverage = positionCoverage(status.replayed, required, group);
    if (!status.isReachable || (coverage !== Coverage.Covered && coverage !== Coverage.Behind)) {
        return undefined;
    }
    const isPositionReported = coverage === Coverage.Covered;
    return read.maximumAgeMs === undefined
        ? { requiredPosition: required, validUntilMs: Infinity, isPositionReported }
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
    const isSampled = primarySample.term !== 0 && positionCoverage(replayed, primarySample, group) === Coverage.Covered;
    if (!isSampled || nowMs > validUntilMs) {
        return undefined;
    }
    const requiredPosition = primarySample.position > required.position ? primarySample : required;
    return { requiredPosition, validUntilMs, isPositionReported: required.position <= replayed.position };
};
