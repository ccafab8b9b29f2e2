import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import { isEligible } from "./choosePrimary.ts";
import { GroupActionKind } from "./GroupAction.ts";
import { type GroupEvent, GroupEventKind } from "./GroupEvent.ts";
import { type GroupState, isHolder, type Step } from "./GroupState.ts";
import { startElection } from "./runElection.ts";
import { receivePrimaryProbe } from "./watchPrimary.ts";

type ProbeEvent = Extract<GroupEvent, { readonly sentAtMs: number; }>;

/** Processes the result of a probe, or of an order to freeze, which includes a probe. */
export const receiveProbe = (state: GroupState, step: Step, event: ProbeEvent): void => {
    const { instance, sentAtMs, probe, kind } = event;
    if (state.stored === undefined) {
        if (probe !== undefined) {
            state.firstRowProbes.set(instance, probe);
        }
        return;
    }
    if (kind === GroupEventKind.Probed && instance === state.stored.row.primary) {
        receivePrimaryProbe(state, sentAtMs, probe);
        return;
    }
    if (state.plannedInstance === instance && kind === GroupEventKind.Probed) {
        startPlanned(state, step, instance, probe);
        return;
    }
    const { election } = state;
    if (election === undefined || probe === undefined || sentAtMs < election.startedAtMs) {
        return;
    }
    if (kind === GroupEventKind.Frozen || !step.guards.areReplicasFrozen) {
        election.frozenProbes.set(instance, probe);
    }
    else if (instance === election.target) {
        election.targetProbe = probe;
        election.orderedAtMs.delete(instance);
    }
};

const startPlanned = (state: GroupState, step: Step, instance: string, probe: InstanceProbe | undefined): void => {
    state.plannedInstance = undefined;
    const isUsable = probe !== undefined && isEligible(probe, state.stored!.row.history, step.guards);
    if (!isUsable || !isHolder(state, step) || state.election !== undefined || state.change !== undefined) {
        const code = isUsable ? ResultCode.TermChanged : ResultCode.ReplicaBehind;
        step.actions.push({ kind: GroupActionKind.FinishPromotion, code });
        return;
    }
    startElection(state, step, true, instance);
};
