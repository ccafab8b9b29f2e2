import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { FAST_PROBE_INTERVAL_MS, PRIMARY_LOST_MS, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SLOW_PROBE_MS } from "./promotionTiming.ts";

/** Probes the row's primary when a probe is due. */
export const probePrimary = (state: GroupState, step: Step, isUrgent: boolean): void => {
    const watch = state.primary;
    const intervalMs = isUrgent ? FAST_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
    const ageMs = step.nowMs - watch.probedAtMs;
    if (state.stored === undefined || ageMs < (watch.outstanding > 0 ? PROBE_TIMEOUT_MS : intervalMs)) {
        return;
    }
    watch.probedAtMs = step.nowMs;
    watch.outstanding++;
    step.actions.push({ kind: GroupActionKind.Probe, instance: state.stored.row.primary });
};

/** Whether every probe has failed for so long that the primary has to be replaced. */
export const isPrimaryLost = ({ primary }: GroupState, nowMs: number): boolean =>
    primary.failingSinceMs !== undefined && nowMs - primary.failingSinceMs >= PRIMARY_LOST_MS;

/** Whether the last probe failed or is long without an answer. */
export const isPrimaryDoubtful = ({ primary }: GroupState, nowMs: number): boolean =>
    primary.failingSinceMs !== undefined || (primary.outstanding > 0 && nowMs - primary.probedAtMs >= SLOW_PROBE_MS);

/** Whether the primary is a frozen replica that waits for the order to promote it. */
export const isPromotable = (state: GroupState, probe: InstanceProbe): boolean => {
    const start = state.stored?.row.history.at(-1);
    return probe.isReplica && !state.primary.isConfirmed && start?.fromTimeline !== undefined && probe.position === start.position;
};

/** Takes in the answer to a probe of the primary. A probe that failed is undefined. */
export const receivePrimaryProbe = (state: GroupState, sentAtMs: number, probe: InstanceProbe | undefined): void => {
    const watch = state.primary;
    watch.outstanding = Math.max(0, watch.outstanding - 1);
    if (sentAtMs < watch.answeredAtMs) {
        return;
    }
    if (probe === undefined || (probe.isReplica && !isPromotable(state, probe))) {
        watch.failingSinceMs ??= sentAtMs;
        return;
    }
    watch.answeredAtMs = sentAtMs;
    watch.lastProbe = probe;
    watch.failingSinceMs = undefined;
};
