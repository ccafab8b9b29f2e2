/** Messages between the controllers of two VMs about one group's lease. */

/** Constants for `LeaseMessage.kind`. */
export const LeaseMessageKind = {
    Renewal: "renewal",
    Grant: "grant",
    Prepare: "prepare",
    Promise: "promise",
    Release: "release",
    RowNotice: "rowNotice",
} as const;

/** The holder asks a witness for the lease under a row version. */
export interface Renewal {
    readonly kind: typeof LeaseMessageKind.Renewal;
    readonly rowVersion: number;
    /** Incarnation of the witness that the row names. */
    readonly witnessIncarnation: number;
    /** Clock of the holder, returned in the grant. */
    readonly sentAtMs: number;
}

/** A witness answers a renewal. */
export interface Grant {
    readonly kind: typeof LeaseMessageKind.Grant;
    readonly rowVersion: number;
    /** Incarnation of the holder that asked. */
    readonly holderIncarnation: number;
    readonly sentAtMs: number;
    readonly isGranted: boolean;
    /** Highest row version that the witness knows. */
    readonly knownVersion: number;
}

/** A candidate asks a witness never to grant a row version again. */
export interface Prepare {
    readonly kind: typeof LeaseMessageKind.Prepare;
    readonly rowVersion: number;
}

/** A witness answers a candidate. */
export interface PromiseAnswer {
    readonly kind: typeof LeaseMessageKind.Promise;
    readonly rowVersion: number;
    readonly isPromised: boolean;
    /** Time that the grants of the witness still run. */
    readonly remainingMs: number;
    readonly knownVersion: number;
}

/** The holder will never lead under the row version again. */
export interface Release {
    readonly kind: typeof LeaseMessageKind.Release;
    readonly rowVersion: number;
}

/** A version of the row as the table service has stored it. */
export interface RowNotice {
    readonly kind: typeof LeaseMessageKind.RowNotice;
    readonly rowVersion: number;
    readonly value: string;
}

export type LeaseMessage = Renewal | Grant | Prepare | PromiseAnswer | Release | RowNotice;
