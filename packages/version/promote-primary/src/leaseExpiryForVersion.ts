import { computeLeaseExpiry } from "@pomeloturn/group-lease/computeLeaseExpiry";
import type { VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import { HOLDER_LEASE_MS, LEASE_MS } from "@pomeloturn/group-lease/leaseTiming";
import type { GroupState, Step } from "./GroupState.ts";

/** Returns the key of a grant in `GroupState.grants`. It starts with the row version. */
export const grantKey = (rowVersion: number, witness: VmIncarnation): string => `${rowVersion}/${witness.vm}/${witness.incarnation}`;

/** Returns the time until which a majority of `witnesses` grants the lease for a row version, or `-Infinity`. */
export const leaseExpiryForVersion = (
    state: GroupState,
    witnesses: readonly VmIncarnation[],
    rowVersion: number,
    { guards }: Step,
): number =>
    computeLeaseExpiry(
        witnesses,
        witness => state.grants.get(grantKey(rowVersion, witness)),
        guards.isClockMarginKept ? HOLDER_LEASE_MS : LEASE_MS,
    );

/** Returns the time until which this VM, as the holder, may lead. During a change of the row it needs a majority of the witnesses of both versions. */
export const holderLeaseExpiry = (state: GroupState, step: Step): number => {
    const { stored, change } = state;
    if (stored === undefined) {
        return -Infinity;
    }
    const presentExpiryMs = leaseExpiryForVersion(state, stored.row.witnesses, stored.version, step);
    if (change?.isSent !== true || !step.guards.areBothSetsNeeded) {
        return presentExpiryMs;
    }
    return Math.min(presentExpiryMs, leaseExpiryForVersion(state, change.nextRow.witnesses, change.expectedVersion + 1, step));
};
