import type { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";

/** What a statement that is over tells the logs and metrics. */
export interface StatementRecord {
    readonly requestId: string;
    readonly service: string;
    readonly rank: number;
    readonly code: number;
    readonly latencyMs: number;
    /** The instance that was tried last; empty when none was. */
    readonly instance: string;
    readonly attempts: number;
    readonly detail: string;
    /** The instance that this VM took to be the primary; empty when none was known. */
    readonly leader: string;
    /** Age of the newest sample of the primary's position, in milliseconds; infinite without one. */
    readonly sampleAgeMs: number;
    readonly configurationVersion: number;
}

/** Constants for what a failed attempt says of an instance. */
export const Evidence = {
    /** The instance's address refuses or resets connections. */
    Refused: "refused",
    /** No answer within the time that answers take. */
    Silent: "silent",
} as const;
export type Evidence = typeof Evidence[keyof typeof Evidence];

/** What the runner needs from its process. */
export interface RunnerPorts {
    readonly directory: ServiceDirectory;
    /** Monotonic milliseconds. Samples are void when the VM was suspended; see `checkSuspended`. */
    readonly nowMs: () => number;
    /** 0 to 1, seeded in tests. */
    readonly random: () => number;
    /** Counts suspensions of this VM: a sample that was asked for under another count is not kept. */
    readonly checkSuspended: () => number;
    readonly distanceTo: (failureDomain: string) => Distance;
    readonly onSuspect: (service: string, instanceId: string, evidence: Evidence) => void;
    readonly onStatement: (record: StatementRecord) => void;
    /** Told of an error that no statement should cause; its session ends with an open outcome. */
    readonly onFault: (error: Error) => void;
}
