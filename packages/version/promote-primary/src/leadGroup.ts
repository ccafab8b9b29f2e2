import { chooseHolder } from "@pomeloturn/group-lease/chooseHolder";
import { chooseWitnesses } from "@pomeloturn/group-lease/chooseWitnesses";
import type { StoredRow, VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import { LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { RENEW_INTERVAL_MS, WITNESS_COUNT } from "@pomeloturn/group-lease/leaseTiming";
import type { ControllerVm } from "@pomeloturn/types/Leadership";
import { GroupActionKind } from "./GroupAction.ts";
import type { GroupState, Step } from "./GroupState.ts";
import { grantKey, holderLeaseExpiry } from "./leaseExpiryForVersion.ts";
import {
    MAXIMUM_PUBLISHED_LEASE_MS,
    ORDER_INTERVAL_MS,
    PLACEMENT_DELAY_MS,
    READ_RETRY_MS,
    REPAIR_INTERVAL_MS,
    WITNESS_REPLACEMENT_DELAY_MS,
} from "./promotionTiming.ts";
import { broadcastRow, startChange } from "./rowChange.ts";
import { runElection, startElection } from "./runElection.ts";
import { sendRelease } from "./sendRelease.ts";
import { isChangeDeferred } from "./tableEra.ts";
import { isPrimaryLost, isPrimarySuspected, isPromotable, probePrimary } from "./watchPrimary.ts";

/** Runs the holder's decisions at a tick: lease renewal, primary probes, replacement of the primary, witnesses, published lease. */
export const leadGroup = (state: GroupState, step: Step, stored: StoredRow): void => {
    renewLease(state, step, stored);
    broadcastRow(state, step);
    probePrimary(state, step, !state.primary.isConfirmed);
    confirmPrimary(state, step, stored);
    if (!isChangeDeferred(state, step)) {
        if (state.election === undefined && state.change === undefined) {
            startDueChange(state, step, stored);
        }
        runElection(state, step);
    }
    publishLease(state, step, stored);
    repairReplicas(state, step, stored);
};

const renewLease = (state: GroupState, step: Step, stored: StoredRow): void => {
    const { version, row } = stored;
    const isReleased = state.releasedVersion === version;
    if ((isReleased && !isChangeDeferred(state, step)) || step.nowMs - state.renewedAtMs < RENEW_INTERVAL_MS) {
        return;
    }
    state.renewedAtMs = step.nowMs;
    if (isReleased) {
        // The successor's row can be missing from the restored table service.
        sendRelease(step, stored);
        return;
    }
    sendRenewals(step, row.witnesses, version);
    if (state.change?.isLeaderKept === true) {
        sendRenewals(step, state.change.nextRow.witnesses, state.change.expectedVersion + 1);
    }
};

const sendRenewals = (step: Step, witnesses: readonly VmIncarnation[], rowVersion: number): void => {
    for (const { vm, incarnation } of witnesses) {
        const message = { kind: LeaseMessageKind.Renewal, rowVersion, witnessIncarnation: incarnation, sentAtMs: step.nowMs };
        step.actions.push({ kind: GroupActionKind.Send, vm, message });
    }
};

/** Orders the promotion once the lease is held, and confirms the primary once a probe shows it out of recovery. */
const confirmPrimary = (state: GroupState, step: Step, { row }: StoredRow): void => {
    const watch = state.primary;
    if (watch.isConfirmed || watch.lastProbe === undefined) {
        return;
    }
    if (!watch.lastProbe.isReplica) {
        watch.isConfirmed = true;
        state.repairedAtMs = -Infinity;
        return;
    }
    const isDue = step.nowMs - watch.promotionOrderedAtMs >= ORDER_INTERVAL_MS;
    if (isDue && isPromotable(state, watch.lastProbe) && holderLeaseExpiry(state, step) > step.nowMs) {
        watch.promotionOrderedAtMs = step.nowMs;
        step.actions.push({ kind: GroupActionKind.Promote, instance: row.primary });
    }
    watch.isConfirmed = !step.guards.isPromotionConfirmed;
};

/** Starts the most urgent due change: an election, a transfer of leadership, or a change of witnesses. */
const startDueChange = (state: GroupState, step: Step, stored: StoredRow): void => {
    if (isPrimaryLost(state, step.nowMs)) {
        startElection(state, step, true);
        return;
    }
    if (state.isTransferRequested || state.isTransferringLeadership || isHolderMisplaced(state, step, stored)) {
        transferLeadership(state, step, stored);
        return;
    }
    const witnesses = chooseMissingWitnesses(state, step, stored);
    if (witnesses !== undefined || state.isRenewalRefused) {
        state.renewedAtMs = -Infinity;
        startChange(state, step, { ...stored.row, witnesses: witnesses ?? stored.row.witnesses }, true);
    }
};

/** Whether this VM is outside the primary's failure domain while a VM inside it could be the holder. */
const isHolderMisplaced = (state: GroupState, step: Step, stored: StoredRow): boolean => {
    const domain = state.instances[stored.row.primary];
    const self = step.vms.find(({ vm }) => vm === step.self.vm);
    const isSettled = step.nowMs - state.rowAdoptedAtMs >= PLACEMENT_DELAY_MS && state.publishedUntilMs > step.nowMs;
    return isSettled && self !== undefined && self.failureDomain !== domain
        && listAnsweringWitnesses(state, step, stored).some(({ failureDomain }) => failureDomain === domain);
};

/** Lists the other VMs that recently granted a renewal, so that leadership can be transferred to them without an interruption. */
const listAnsweringWitnesses = (state: GroupState, step: Step, { version, row }: StoredRow): ControllerVm[] =>
    step.vms.filter(({ vm, incarnation, isLeaving }) => {
        const grantedAtMs = state.grants.get(grantKey(version, { vm, incarnation })) ?? -Infinity;
        const isNamed = row.witnesses.some(witness => witness.vm === vm);
        return isNamed && !isLeaving && vm !== step.self.vm && step.nowMs - grantedAtMs < 2 * RENEW_INTERVAL_MS;
    });

/** Stops publishing the lease only while the table service answers, so that this VM keeps leading during an outage of the table service. */
const transferLeadership = (state: GroupState, step: Step, stored: StoredRow): void => {
    if (state.isTransferringLeadership) {
        nameNextHolder(state, step, stored);
        return;
    }
    state.isTransferringLeadership = step.nowMs - state.tableAnsweredAtMs < READ_RETRY_MS;
    if (!state.isTransferringLeadership && step.nowMs - state.rowReadAtMs >= READ_RETRY_MS) {
        state.rowReadAtMs = step.nowMs;
        step.actions.push({ kind: GroupActionKind.ReadRow });
    }
};

/** Names another VM as the holder once the published lease has expired. */
const nameNextHolder = (state: GroupState, step: Step, stored: StoredRow): void => {
    const { row } = stored;
    const others = step.vms.filter(({ vm }) => vm !== step.self.vm);
    const answering = listAnsweringWitnesses(state, step, stored);
    const next = chooseHolder(state.group, state.instances[row.primary] ?? "", answering.length > 0 ? answering : others);
    if (next === undefined || (step.nowMs < state.publishedUntilMs && step.guards.isOwnLeaseWaitedOut)) {
        return;
    }
    const holder = { vm: next.vm, incarnation: next.incarnation };
    const self = step.vms.find(({ vm }) => vm === step.self.vm);
    const usable = self?.isLeaving === false ? step.vms : others;
    startChange(state, step, { ...row, holder, witnesses: chooseWitnesses(state.group, next.vm, usable, row.witnesses) }, false);
};

/** @returns new witnesses when a witness has been missing for `WITNESS_REPLACEMENT_DELAY_MS` or more VMs have become available; otherwise undefined */
const chooseMissingWitnesses = (state: GroupState, step: Step, { row }: StoredRow): VmIncarnation[] | undefined => {
    const isAlive = (witness: VmIncarnation): boolean =>
        step.vms.some(({ vm, incarnation, isLeaving }) => vm === witness.vm && incarnation === witness.incarnation && !isLeaving);
    const alive = row.witnesses.filter(isAlive);
    const isComplete = alive.length === row.witnesses.length && (alive.length >= WITNESS_COUNT || alive.length >= step.vms.length - 1);
    if (isComplete) {
        state.witnessesMissingSinceMs = undefined;
        return undefined;
    }
    state.witnessesMissingSinceMs ??= step.nowMs;
    if (step.nowMs - state.witnessesMissingSinceMs < WITNESS_REPLACEMENT_DELAY_MS) {
        return undefined;
    }
    const chosen = chooseWitnesses(state.group, step.self.vm, step.vms, alive);
    const isSame = chosen.length === row.witnesses.length && chosen.every(({ vm }) => alive.some(kept => kept.vm === vm));
    return isSame || chosen.length === 0 ? undefined : chosen;
};

/** Extends the time until which this VM's proxy may acknowledge writes, unless the primary is suspected or leadership is about to be transferred. */
const publishLease = (state: GroupState, step: Step, { version }: StoredRow): void => {
    const isStopped = state.election !== undefined || state.isTransferringLeadership || state.releasedVersion === version
        || state.change?.isLeaderKept === false || isPrimarySuspected(state, step.nowMs);
    if (state.primary.isConfirmed && !isStopped) {
        const untilMs = Math.min(holderLeaseExpiry(state, step), step.nowMs + MAXIMUM_PUBLISHED_LEASE_MS);
        state.publishedUntilMs = Math.max(state.publishedUntilMs, untilMs);
    }
};

/** Orders the replicas to follow the primary, because an earlier order from any VM may have left them frozen or with another upstream. */
const repairReplicas = (state: GroupState, step: Step, { row }: StoredRow): void => {
    const isDue = step.nowMs - state.repairedAtMs >= REPAIR_INTERVAL_MS;
    if (!isDue || state.election !== undefined || !state.primary.isConfirmed || state.publishedUntilMs <= step.nowMs) {
        return;
    }
    state.repairedAtMs = step.nowMs;
    for (const instance of Object.keys(state.instances)) {
        if (instance !== row.primary) {
            step.actions.push({ kind: GroupActionKind.Follow, instance, upstream: row.primary });
        }
    }
};
