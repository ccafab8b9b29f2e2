import { chooseWitnesses } from "@pomeloturn/group-lease/chooseWitnesses";
import { majorityOf } from "@pomeloturn/group-lease/computeLeaseExpiry";
import type { GroupRow, StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { PROMISE_AFTER_MS } from "@pomeloturn/group-lease/leaseTiming";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";
import { choosePrimary, extendHistory, isEligible } from "./choosePrimary.ts";
import { GroupActionKind } from "./GroupAction.ts";
import type { Election, GroupState, Step } from "./GroupState.ts";
import { ORDER_INTERVAL_MS, PREPARE_INTERVAL_MS, REPLICA_WAIT_MS, YIELD_AFTER_MS } from "./promotionTiming.ts";
import { startChange } from "./rowChange.ts";
import { runPlannedPromotion } from "./runPlannedPromotion.ts";
import { isPrimaryLost, probePrimary } from "./watchPrimary.ts";

/** @param isOwn whether this VM is the holder; @param target instance that an operator wants as the primary */
export const startElection = (state: GroupState, step: Step, isOwn: boolean, target?: string): void => {
    state.election = {
        startedAtMs: step.nowMs,
        isOwn,
        target,
        promises: new Map(),
        preparedAtMs: -Infinity,
        waitUntilMs: isOwn && step.guards.isOwnLeaseWaitedOut ? state.publishedUntilMs : undefined,
        freezeStartedAtMs: undefined,
        frozen: new Map(),
        orderedAtMs: new Map(),
        targetProbe: undefined,
    };
    if (isOwn) {
        state.election.waitUntilMs ??= step.nowMs;
    }
};

/** Goes on with the election: promises, waiting, the check of the primary, freezing the replicas, the change of the row. */
export const runElection = (state: GroupState, step: Step): void => {
    const { election, stored } = state;
    if (election === undefined || stored === undefined || state.change !== undefined) {
        return;
    }
    if (election.waitUntilMs === undefined) {
        collectPromises(state, step, election, stored);
        return;
    }
    if (step.nowMs < election.waitUntilMs) {
        return;
    }
    if (election.target !== undefined) {
        runPlannedPromotion(state, step, election, stored);
        return;
    }
    if (state.primary.answeredAtMs >= election.startedAtMs) {
        keepPrimary(state, step, election, stored);
        return;
    }
    probePrimary(state, step, true);
    if (isPrimaryLost(state, step.nowMs)) {
        replacePrimary(state, step, election, stored);
    }
};

const collectPromises = (state: GroupState, step: Step, election: Election, { version, row }: StoredRow): void => {
    const needed = step.guards.isMajorityPromised ? majorityOf(row.witnesses) : 1;
    const clearTimes = [...election.promises.values()].sort((left, right) => left - right);
    const clearAtMs = clearTimes[needed - 1];
    if (clearAtMs !== undefined) {
        election.waitUntilMs = step.guards.isLeaseWaitedOut ? clearAtMs : step.nowMs;
        return;
    }
    if (step.nowMs - state.witness.heardAtMs < PROMISE_AFTER_MS) {
        state.election = undefined;
        return;
    }
    if (step.nowMs - election.preparedAtMs >= PREPARE_INTERVAL_MS) {
        election.preparedAtMs = step.nowMs;
        for (const { vm } of row.witnesses) {
            step.actions.push({ kind: GroupActionKind.Send, vm, message: { kind: LeaseMessageKind.Prepare, rowVersion: version } });
        }
    }
};

/** The row with this VM as its holder. A candidate names only VMs that have promised, as others may be gone or paused. */
export const rowWithHolder = (state: GroupState, step: Step, row: GroupRow): GroupRow => {
    const { election } = state;
    if (election?.isOwn !== false) {
        return { ...row, holder: step.self };
    }
    const answering = step.vms.filter(({ vm }) => vm === step.self.vm || election.promises.has(vm));
    return { ...row, holder: step.self, witnesses: chooseWitnesses(state.group, step.self.vm, answering, row.witnesses) };
};

const keepPrimary = (state: GroupState, step: Step, election: Election, { version, row }: StoredRow): void => {
    if (election.isOwn && state.releasedVersion !== version) {
        state.election = undefined;
        state.repairedAtMs = -Infinity;
        return;
    }
    startChange(state, step, rowWithHolder(state, step, row), false);
};

const replacePrimary = (state: GroupState, step: Step, election: Election, stored: StoredRow): void => {
    const others = Object.keys(state.instances).filter(instance => instance !== stored.row.primary);
    election.freezeStartedAtMs ??= step.nowMs;
    freezeInstances(step, election, others);
    const eligible = new Map([...election.frozen].filter(([, probe]) => isEligible(probe, stored.row.history, step.guards)));
    const waitedMs = step.nowMs - election.freezeStartedAtMs;
    const chosen = choosePrimary(eligible);
    if (chosen !== undefined && (election.frozen.size === others.length || waitedMs >= REPLICA_WAIT_MS)) {
        promote(state, step, stored.row, chosen, eligible.get(chosen)!);
        return;
    }
    if (chosen === undefined && waitedMs >= YIELD_AFTER_MS && election.isOwn && state.releasedVersion !== stored.version) {
        releaseLease(state, step, stored);
    }
};

/** Orders the instances that are not frozen yet to stop following. */
export const freezeInstances = (step: Step, election: Election, instances: readonly string[]): void => {
    for (const instance of instances) {
        const orderedAtMs = election.orderedAtMs.get(instance) ?? -Infinity;
        if (election.frozen.get(instance)?.isReplica !== true && step.nowMs - orderedAtMs >= ORDER_INTERVAL_MS) {
            election.orderedAtMs.set(instance, step.nowMs);
            step.actions.push({ kind: step.guards.areReplicasFrozen ? GroupActionKind.Freeze : GroupActionKind.Probe, instance });
        }
    }
};

/** Starts the change of the row to a new term at the chosen replica. */
export const promote = (state: GroupState, step: Step, row: GroupRow, primary: string, probe: InstanceProbe): void => {
    const term = row.term + 1;
    const next = { ...rowWithHolder(state, step, row), term, primary, history: extendHistory(row.history, term, probe) };
    startChange(state, step, next, false);
};

/** Lets the witnesses stand at once, because this VM reaches neither the primary nor a replica. */
const releaseLease = (state: GroupState, step: Step, { version, row }: StoredRow): void => {
    state.releasedVersion = version;
    for (const { vm } of row.witnesses) {
        step.actions.push({ kind: GroupActionKind.Send, vm, message: { kind: LeaseMessageKind.Release, rowVersion: version } });
    }
};
