import { chooseHolder } from "@pomeloturn/group-lease/chooseHolder";
import { chooseWitnesses } from "@pomeloturn/group-lease/chooseWitnesses";
import { orderVmsByHash } from "@pomeloturn/group-lease/orderVmsByHash";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { CREATE_STAGGER_MS, FEW_VMS_CREATE_DELAY_MS, ORDER_INTERVAL_MS, REDUNDANT_VM_COUNT } from "./promotionTiming.ts";
import { startChange } from "./rowChange.ts";
import { isChangeDeferred } from "./tableEra.ts";

/** Creates the row of a group without one, once every instance has been probed. The primary is the first instance by name that is not in recovery. */
export const createFirstRow = (state: GroupState, step: Step, missingSinceMs: number): void => {
    const vmIndex = orderVmsByHash(step.vms, state.group).findIndex(({ vm }) => vm === step.self.vm);
    const waitMs = (step.vms.length < REDUNDANT_VM_COUNT ? FEW_VMS_CREATE_DELAY_MS : 0) + vmIndex * CREATE_STAGGER_MS;
    if (vmIndex < 0 || step.nowMs - missingSinceMs < waitMs || state.change !== undefined || isChangeDeferred(state, step)) {
        return;
    }
    const instances = Object.keys(state.instances).sort();
    const primary = instances.find(instance => state.firstRowProbes.get(instance)?.isReplica === false);
    const isComplete = instances.every(instance => state.firstRowProbes.has(instance));
    if (primary === undefined || !isComplete) {
        probeInstances(state, step, instances);
        return;
    }
    const chosen = chooseHolder(state.group, state.instances[primary]!, step.vms)!;
    const holder = { vm: chosen.vm, incarnation: chosen.incarnation };
    const witnesses = chooseWitnesses(state.group, holder.vm, step.vms);
    startChange(state, step, { term: 1, primary, holder, witnesses, history: [{ term: 1, position: 0 }] }, false);
};

const probeInstances = (state: GroupState, step: Step, instances: readonly string[]): void => {
    if (step.nowMs - state.primary.probedAtMs < ORDER_INTERVAL_MS) {
        return;
    }
    state.primary.probedAtMs = step.nowMs;
    for (const instance of instances) {
        step.actions.push({ kind: GroupActionKind.Probe, instance });
    }
};
