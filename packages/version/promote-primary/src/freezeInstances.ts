import { GroupActionKind } from "./GroupAction.ts";
import type { Election, Step } from "./GroupState.ts";
import { ORDER_INTERVAL_MS } from "./promotionTiming.ts";

/** Orders the instances that are not frozen yet to stop replicating, and repeats the order every `ORDER_INTERVAL_MS`. */
export const freezeInstances = (step: Step, election: Election, instances: readonly string[]): void => {
    for (const instance of instances) {
        const orderedAtMs = election.orderedAtMs.get(instance) ?? -Infinity;
        if (election.frozenProbes.get(instance)?.isReplica !== true && step.nowMs - orderedAtMs >= ORDER_INTERVAL_MS) {
            election.orderedAtMs.set(instance, step.nowMs);
            step.actions.push({ kind: step.guards.areReplicasFrozen ? GroupActionKind.Freeze : GroupActionKind.Probe, instance });
        }
    }
};
