import type { Distance } from "@pomeloturn/rank-candidates/rankCandidates";
import type { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { AllowanceDecision } from "@pomeloturn/types/Teams";

/** Outcome of a finished statement, for logs and metrics. */
export interface StatementRecord {
    readonly requestId: string;
    readonly service: string;
    readonly rank: number;
    readonly code: number;
    readonly latencyMs: number;
    /** Id of the instance that was tried last; empty when none was. */
    readonly instance: string;
    readonly attempts: number;
    readonly detail: string;
    /** Id of the instance that this VM considers the primary; empty when none is known. */
    readonly leader: string;
    /** Age of the newest sample of the primary's position, in milliseconds; infinite without one. */
    readonly sampleAgeMs: number;
    readonly configurationVersion: number;
}

/** How an attempt at an instance failed. */
export const AttemptFailure = {
    /** The instance's address refuses or resets connections. */
    Refused: "refused",
    /** The instance did not answer within the time limit. */
    TimedOut: "silent",
} as const;
export type AttemptFailure = typeof AttemptFailure[keyof typeof AttemptFailure];

/** What the runner needs from the process that hosts it. */
export interface RunnerPorts {
    readonly directory: ServiceDirectory;
    /** Monotonic time in milliseconds. Position samples that span a suspension of the VM are invalid; see `detectSuspensions`. */
    readonly nowMs: () => number;
    /** Random number from 0 to 1; seeded in tests. */
    readonly random: () => number;
    /**
     * Detects suspensions of this VM and returns their number so far. A sample is discarded when the number has
     * changed since it was requested.
     */
    readonly detectSuspensions: () => number;
    readonly distanceTo: (failureDomain: string) => Distance;
    /** Asks for one operation of a team's allowance. Undefined where teams have none. */
    readonly takeAllowance?: ((team: string) => Promise<AllowanceDecision>) | undefined;
    readonly onInstanceSuspected: (service: string, instanceId: string, failure: AttemptFailure) => void;
    /** Called when a session is refused at its start. */
    readonly onStartupRefused?: (code: number) => void;
    readonly onStatement: (record: StatementRecord) => void;
    /** Receives an error that no statement should cause. The session ends, and the outcome of its statement is unknown. */
    readonly onUnexpectedError: (error: Error) => void;
}
