/** Rules that keep a group at one leader. All hold in production; tests take one away to show that the check notices. */
export interface LeaseGuards {
    /** A witness that promised for a row version grants that version no more. */
    readonly isPromiseKept: boolean;
    /** A witness grants only under the incarnation that the row names. */
    readonly isIncarnationChecked: boolean;
    /** A restarted witness counts its predecessor's grants as running for a whole lease. */
    readonly isRestartWaitedOut: boolean;
    /** During a change of witnesses the holder needs majorities of both sets. */
    readonly areBothSetsNeeded: boolean;
    /** A lease counts from when the renewal was sent. */
    readonly isCountedFromSend: boolean;
    /** A candidate waits until the granted leases have run out. */
    readonly isLeaseWaitedOut: boolean;
    /** A candidate needs promises of a majority. */
    readonly isMajorityPromised: boolean;
    /** The row changes only from the version that the change was decided on. */
    readonly isVersionCompared: boolean;
    /** Nobody leads at a primary that was not seen to be out of recovery. */
    readonly isPromotionConfirmed: boolean;
    /** Replicas stop following before the position of the new term is read. */
    readonly areReplicasFrozen: boolean;
    /** An instance that left the group's history is not chosen. */
    readonly isHistoryChecked: boolean;
    /** A restarted holder leads only after the row names its new incarnation. */
    readonly isHolderIncarnationChecked: boolean;
    /** A holder that hands over or promotes waits until its own published lease has run out. */
    readonly isOwnLeaseWaitedOut: boolean;
    /** Clock rates may differ by the margin. */
    readonly isClockMarginKept: boolean;
}

/** The rules of production. */
export const ALL_GUARDS: LeaseGuards = {
    isPromiseKept: true,
    isIncarnationChecked: true,
    isRestartWaitedOut: true,
    areBothSetsNeeded: true,
    isCountedFromSend: true,
    isLeaseWaitedOut: true,
    isMajorityPromised: true,
    isVersionCompared: true,
    isPromotionConfirmed: true,
    areReplicasFrozen: true,
    isHistoryChecked: true,
    isHolderIncarnationChecked: true,
    isOwnLeaseWaitedOut: true,
    isClockMarginKept: true,
};
