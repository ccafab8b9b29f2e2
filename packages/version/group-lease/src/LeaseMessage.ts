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

/** Request of the holder to a witness to grant the lease for a row version. */
export interface Renewal {
    readonly kind: typeof LeaseMessageKind.Renewal;
    readonly rowVersion: number;
    /** Incarnation of the witness that the row names. */
    readonly witnessIncarnation: number;
    /** Time of the holder's clock, which the grant returns. */
    readonly sentAtMs: number;
}

/** Answer of a witness to a renewal. */
export interface Grant {
    readonly kind: typeof LeaseMessageKind.Grant;
    readonly rowVersion: number;
    /** Incarnation of the holder that sent the renewal. */
    readonly holderIncarnation: number;
    readonly sentAtMs: number;
    readonly isGranted: boolean;
    /** Highest row version that the witness knows. */
    readonly knownVersion: number;
}

/** Request of a candidate to a witness to stop granting a row version for good. */
export interface Prepare {
    readonly kind: typeof LeaseMessageKind.Prepare;
    readonly rowVersion: number;
}

/** Answer of a witness to a candidate. */
export interface PromiseAnswer {
    readonly kind: typeof LeaseMessageKind.Promise;
    readonly rowVersion: number;
    readonly isPromised: boolean;
    /** Time until the grants of the witness expire. */
    readonly remainingMs: number;
    readonly knownVersion: number;
}

/** Statement of the holder that it will never lead under the row version again. */
export interface Release {
    readonly kind: typeof LeaseMessageKind.Release;
    readonly rowVersion: number;
}

/** A version of the row as stored in the table service. */
export interface RowNotice {
    readonly kind: typeof LeaseMessageKind.RowNotice;
    readonly rowVersion: number;
    readonly value: string;
}

export type LeaseMessage = Renewal | Grant | Prepare | PromiseAnswer | Release | RowNotice;
