import { computeMajority } from "@pomeloturn/group-lease/computeLeaseExpiry";
import type { StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import { PROMISE_AFTER_SILENCE_MS } from "@pomeloturn/group-lease/leaseTiming";
import { choosePrimary, isEligible } from "./choosePrimary.ts";
import { freezeInstances } from "./freezeInstances.ts";
import { GroupActionKind } from "./GroupAction.ts";
import type { Election, GroupState, Step } from "./GroupState.ts";
import { PREPARE_INTERVAL_MS, RELEASE_AFTER_MS, REPLICA_WAIT_MS } from "./promotionTiming.ts";
import { startChange } from "./rowChange.ts";
import { runPlannedPromotion } from "./runPlannedPromotion.ts";
import { sendRelease } from "./sendRelease.ts";
import { createRowWithHolder, startPromotion } from "./startPromotion.ts";
import { isPrimaryLost, probePrimary } from "./watchPrimary.ts";

/**
 * @param isByHolder whether this VM is the holder
 * @param target instance that an operator requested as the primary
 */
export const startElection = (state: GroupState, step: Step, isByHolder: boolean, target?: string): void => {
    state.election = {
        startedAtMs: step.nowMs,
        isByHolder,
        target,
        promisedLeaseEndMs: new Map(),
        preparedAtMs: -Infinity,
        waitUntilMs: isByHolder && step.guards.isOwnLeaseWaitedOut ? state.publishedUntilMs : undefined,
        freezeStartedAtMs: undefined,
        frozenProbes: new Map(),
        orderedAtMs: new Map(),
        targetProbe: undefined,
    };
    if (isByHolder) {
        state.election.waitUntilMs ??= step.nowMs;
    }
};

/** Advances the election: collects promises, waits until the leases have expired, probes the primary, freezes the replicas, changes the row. */
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
    if (state.primary.answeredProbeSentAtMs >= election.startedAtMs) {
        keepPrimary(state, step, election, stored);
        return;
    }
    probePrimary(state, step, true);
    if (isPrimaryLost(state, step.nowMs)) {
        replacePrimary(state, step, election, stored);
    }
};

const collectPromises = (state: GroupState, step: Step, election: Election, { version, row }: StoredRow): void => {
    const neededCount = step.guards.isMajorityPromised ? computeMajority(row.witnesses) : 1;
    const expiryTimesMs = [...election.promisedLeaseEndMs.values()].sort((left, right) => left - right);
    const expiresAtMs = expiryTimesMs[neededCount - 1];
    if (expiresAtMs !== undefined) {
        election.waitUntilMs = step.guards.isLeaseWaitedOut ? expiresAtMs : step.nowMs;
        return;
    }
    if (step.nowMs - state.witness.holderHeardAtMs < PROMISE_AFTER_SILENCE_MS) {
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

const keepPrimary = (state: GroupState, step: Step, election: Election, { version, row }: StoredRow): void => {
    if (election.isByHolder && state.releasedVersion !== version) {
        state.election = undefined;
        state.repairedAtMs = -Infinity;
        return;
    }
    startChange(state, step, createRowWithHolder(state, step, row), false);
};

const replacePrimary = (state: GroupState, step: Step, election: Election, stored: StoredRow): void => {
    const others = Object.keys(state.instances).filter(instance => instance !== stored.row.primary);
    election.freezeStartedAtMs ??= step.nowMs;
    freezeInstances(step, election, others);
    const eligible = new Map([...election.frozenProbes].filter(([, probe]) => isEligible(probe, stored.row.history, step.guards)));
    const waitedMs = step.nowMs - election.freezeStartedAtMs;
    const chosen = choosePrimary(eligible);
    if (chosen !== undefined && (election.frozenProbes.size === others.length || waitedMs >= REPLICA_WAIT_MS)) {
        startPromotion(state, step, stored.row, chosen, eligible.get(chosen)!);
        return;
    }
    if (chosen === undefined && waitedMs >= RELEASE_AFTER_MS && election.isByHolder && state.releasedVersion !== stored.version) {
        releaseLease(state, step, stored);
    }
};

/** Releases the lease because this VM reaches neither the primary nor an eligible replica, so that the witnesses can become candidates without waiting. */
const releaseLease = (state: GroupState, step: Step, stored: StoredRow): void => {
    state.releasedVersion = stored.version;
    sendRelease(step, stored);
};
