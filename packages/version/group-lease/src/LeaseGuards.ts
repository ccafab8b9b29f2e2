/** Safety rules that prevent two leaders of a group. All are on in production. Tests switch one off to show that the leadership check detects the violation. */
export interface LeaseGuards {
    /** A witness does not grant a row version after it has promised that version to a candidate. */
    readonly isPromiseKept: boolean;
    /** A witness grants only if the row names its current incarnation. */
    readonly isIncarnationChecked: boolean;
    /** A restarted witness assumes that grants from before the restart remain valid for a full lease. */
    readonly isRestartWaitedOut: boolean;
    /** While the witnesses are being changed, the holder needs a majority of both the old and the new set. */
    readonly areBothSetsNeeded: boolean;
    /** A lease starts when the renewal is sent, not when the grant arrives. */
    readonly isCountedFromSend: boolean;
    /** A candidate waits until the granted leases have expired. */
    readonly isLeaseWaitedOut: boolean;
    /** A candidate needs promises from a majority of the witnesses. */
    readonly isMajorityPromised: boolean;
    /** The row is written only if it still has the version that the change is based on. */
    readonly isVersionCompared: boolean;
    /** The lease is published only after a probe has shown that the primary is out of recovery. */
    readonly isPromotionConfirmed: boolean;
    /** Replicas stop replicating before the start position of the new term is read. */
    readonly areReplicasFrozen: boolean;
    /** An instance whose log diverged from the group's history is not promoted. */
    readonly isHistoryChecked: boolean;
    /** A restarted holder may lead only after the row names its new incarnation. */
    readonly isHolderIncarnationChecked: boolean;
    /** A holder that transfers leadership or promotes another instance waits until the lease that it published has expired. */
    readonly isOwnLeaseWaitedOut: boolean;
    /** Lease durations allow for clock rates that differ by `CLOCK_RATE_MARGIN`. */
    readonly isClockMarginKept: boolean;
    /** The row is written only in the era of the table service in which the change was decided. */
    readonly isEraCompared: boolean;
    /** After a restore of the table service, a VM without a valid lease waits before it changes the row. */
    readonly isRestoreWaitedOut: boolean;
}

/** All rules on, as in production. */
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
    isEraCompared: true,
    isRestoreWaitedOut: true,
};
