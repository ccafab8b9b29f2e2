import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { FAST_PROBE_INTERVAL_MS, PRIMARY_LOST_MS, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SLOW_PROBE_MS } from "./promotionTiming.ts";

/** Probes the row's primary when a probe is due. @param isUrgent whether a decision waits for the result */
export const probePrimary = (state: GroupState, step: Step, isUrgent: boolean): void => {
    const watch = state.primary;
    const intervalMs = isUrgent ? FAST_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
    const ageMs = step.nowMs - watch.probedAtMs;
    if (state.stored === undefined || ageMs < (watch.outstandingProbeCount > 0 ? PROBE_TIMEOUT_MS : intervalMs)) {
        return;
    }
    watch.probedAtMs = step.nowMs;
    watch.outstandingProbeCount++;
    step.actions.push({ kind: GroupActionKind.Probe, instance: state.stored.row.primary });
};

/** Whether all probes have failed for `PRIMARY_LOST_MS`, so that the primary has to be replaced. */
export const isPrimaryLost = ({ primary }: GroupState, nowMs: number): boolean =>
    primary.failingSinceMs !== undefined && nowMs - primary.failingSinceMs >= PRIMARY_LOST_MS;

/** Whether the last probe failed or has been unanswered for `SLOW_PROBE_MS`. */
export const isPrimarySuspected = ({ primary }: GroupState, nowMs: number): boolean =>
    primary.failingSinceMs !== undefined || (primary.outstandingProbeCount > 0 && nowMs - primary.probedAtMs >= SLOW_PROBE_MS);

/** Whether the row's primary is a frozen replica at the start position of its term, which still has to be promoted. */
export const isPromotable = (state: GroupState, probe: InstanceProbe): boolean => {
    const start = state.stored?.row.history.at(-1);
    return probe.isReplica && !state.primary.isConfirmed && start?.fromTimeline !== undefined && probe.position === start.position;
};

/** Processes the result of a probe of the primary. @param probe undefined when the probe failed */
export const receivePrimaryProbe = (state: GroupState, sentAtMs: number, probe: InstanceProbe | undefined): void => {
    const watch = state.primary;
    watch.outstandingProbeCount = Math.max(0, watch.outstandingProbeCount - 1);
    if (sentAtMs < watch.answeredProbeSentAtMs) {
        return;
    }
    if (probe === undefined || (probe.isReplica && !isPromotable(state, probe))) {
        watch.failingSinceMs ??= sentAtMs;
        return;
    }
    watch.answeredProbeSentAtMs = sentAtMs;
    watch.lastProbe = probe;
    watch.failingSinceMs = undefined;
};
