import type { GroupState, Step } from "./GroupState.ts";
import { holderLeaseExpiry } from "./leaseExpiryForVersion.ts";
import { RESTORE_SETTLE_MS } from "./promotionTiming.ts";

/** Records the era of an answer of the table service. A later era than the known one shows that the service was restored from an older copy. */
export const receiveTableEra = (state: GroupState, { nowMs }: Step, era: number | undefined): void => {
    const { tableEra, election } = state;
    if (era === undefined || (tableEra !== undefined && era <= tableEra)) {
        return;
    }
    state.tableEra = era;
    if (tableEra === undefined) {
        return;
    }
    state.restoreSettledAtMs = nowMs + RESTORE_SETTLE_MS;
    if (election?.isByHolder === false) {
        // Witnesses that promised before the restore may since know a newer row, which the service has lost.
        state.election = undefined;
    }
};

/**
 * Whether the row must not be changed yet because the restored table service may have lost a newer one. A valid lease proves
 * that there is none: another holder would have waited for its end.
 */
export const isChangeDeferred = (state: GroupState, step: Step): boolean =>
    step.guards.isRestoreWaitedOut && step.nowMs < state.restoreSettledAtMs && holderLeaseExpiry(state, step) <= step.nowMs;
