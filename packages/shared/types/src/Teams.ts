/** Teams of callers, their keys and allowances, as the operator's configuration lists them. */

/** A team and the number of operations that it may run, on all VMs together. */
export interface TeamEntry {
    readonly name: string;
    readonly operationsPerS: number;
    /** Number of operations that may run at once after a quiet time, beyond the rate. */
    readonly burstOperations: number;
}

/** All teams of one version of the configuration. */
export interface TeamTable {
    readonly teams: ReadonlyMap<string, TeamEntry>;
    readonly teamNamesByKey: ReadonlyMap<string, string>;
}

/** Whether a team may run another operation now. */
export type AllowanceDecision =
    | { readonly isGranted: true; }
    /** `retryAfterMs`: time after which the team is expected to have room, in milliseconds. */
    | { readonly isGranted: false; readonly retryAfterMs: number; };
