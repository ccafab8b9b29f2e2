import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { isEligible } from "./choosePrimary.ts";
import { freezeInstances } from "./freezeInstances.ts";
import { GroupActionKind } from "./GroupAction.ts";
import type { Election, GroupState, Step } from "./GroupState.ts";
import { FAST_PROBE_INTERVAL_MS, PLANNED_PROMOTION_TIMEOUT_MS } from "./promotionTiming.ts";
import { startPromotion } from "./startPromotion.ts";
import { probePrimary } from "./watchPrimary.ts";

/**
 * Replaces a primary that is alive. After the lease has expired, the target must reach the primary's last position and
 * the position of every other replica, so that no commit is lost and no replica has to be rebuilt.
 */
export const runPlannedPromotion = (state: GroupState, step: Step, election: Election, { row }: StoredRow): void => {
    const target = election.target!;
    if (step.nowMs - election.waitUntilMs! >= PLANNED_PROMOTION_TIMEOUT_MS) {
        abandonPromotion(state, step);
        return;
    }
    const others = Object.keys(state.instances).filter(instance => instance !== row.primary && instance !== target);
    freezeInstances(step, election, others);
    if (state.primary.answeredProbeSentAtMs < election.waitUntilMs!) {
        probePrimary(state, step, true);
        return;
    }
    const isEachFrozen = others.every(instance => election.frozenProbes.has(instance));
    const positions = [...election.frozenProbes].filter(([name]) => name !== target).map(([, probe]) => probe.position);
    const requiredPosition = Math.max(state.primary.lastProbe!.position, ...positions);
    const frozenTarget = election.frozenProbes.get(target);
    if (
        frozenTarget !== undefined && isEachFrozen && frozenTarget.position >= requiredPosition
        && isEligible(frozenTarget, row.history, step.guards)
    ) {
        startPromotion(state, step, row, target, frozenTarget);
        return;
    }
    if ((election.targetProbe?.position ?? -1) >= requiredPosition) {
        freezeInstances(step, election, [target]);
        return;
    }
    probeTarget(step, election, target);
};

const probeTarget = (step: Step, election: Election, target: string): void => {
    if (step.nowMs - (election.orderedAtMs.get(target) ?? -Infinity) >= FAST_PROBE_INTERVAL_MS) {
        election.orderedAtMs.set(target, step.nowMs);
        step.actions.push({ kind: GroupActionKind.Probe, instance: target });
    }
};

/** Keeps the present primary and orders its replicas to follow it again. */
const abandonPromotion = (state: GroupState, step: Step): void => {
    state.election = undefined;
    state.repairedAtMs = -Infinity;
    step.actions.push({ kind: GroupActionKind.FinishPromotion, code: ResultCode.ReplicaBehind });
};
