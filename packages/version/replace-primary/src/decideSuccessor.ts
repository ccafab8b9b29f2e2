import { abandon, confirm, findPaused, isOrderWindowOver, order } from "./attempt.ts";
import { chooseSuccessor, countMissingCommits, findPrimary, hasCaughtUp, holdsEachCommit } from "./chooseSuccessor.ts";
import { enterPhase, requestSurvey } from "./phases.ts";
import type { ReplacementAction, SurveyedInstance } from "./replacementMessages.ts";
import { isOrderTimeLimited, ReplacementPhase, ReplacementReason, type ReplacementState } from "./ReplacementState.ts";
import {
    CATCH_UP_TIMEOUT_MS,
    LAST_STEP_DOWN_MS,
    LIMITED_CATCH_UP_TIMEOUT_MS,
    MAXIMUM_MISSING_COMMITS,
    REPLACEMENT_SURVEY_INTERVAL_MS,
    STAYING_REPLICA_WAIT_MS,
} from "./replacementTiming.ts";

const catchUpTimeoutMs = (state: ReplacementState): number => isOrderTimeLimited(state) ? LIMITED_CATCH_UP_TIMEOUT_MS : CATCH_UP_TIMEOUT_MS;

/** Chooses the successor after the claim, from the states that the instances reported. */
export const decideSuccessor = (state: ReplacementState, instances: readonly SurveyedInstance[], nowMs: number): ReplacementAction[] => {
    const primary = findPrimary(instances);
    if (primary !== undefined && (state.reason !== ReplacementReason.Leaving || !primary.isDraining)) {
        if (state.syncReplicas > 0 && findPaused(primary, instances).length > 0) {
            // The order for the present primary changes nothing, but makes the platform refuse orders of former holders.
            return order(state, primary, nowMs);
        }
        return [...confirm(state, primary, nowMs), {
            kind: "log",
            text: "replacement of the primary not needed: an instance reports that it is the primary",
            details: { instance: primary.id },
        }];
    }
    const isTransfer = state.reason === ReplacementReason.Leaving && primary !== undefined;
    // Where a draining replica may hold commits alone, leadership is only handed to one that stays.
    const candidates = isTransfer && state.syncReplicas > 0 ? instances.filter(({ isDraining }) => !isDraining) : instances;
    const successor = chooseSuccessor(candidates, primary?.id, state.syncReplicas);
    if (successor === undefined || isStayingReplicaAwaited(state, successor, instances, nowMs)) {
        return awaitReplicas(state, nowMs);
    }
    if (isTransfer) {
        return startLeadershipTransfer(state, primary, successor, nowMs);
    }
    return state.syncReplicas === 0 ? order(state, successor, nowMs) : orderWithEachCommit(state, instances, nowMs);
};

/** Waits for the next survey: replicas that serve all reads of a failed primary may be too busy to answer one. */
const awaitReplicas = (state: ReplacementState, nowMs: number): ReplacementAction[] =>
    isOrderWindowOver(state, nowMs)
        ? abandon(state, nowMs, "replacement of the primary abandoned: no replica answered the surveys in the time for an order")
        : [];

/** Whether a draining replica should not be promoted yet, as one that stays may answer the next survey. */
const isStayingReplicaAwaited = (
    state: ReplacementState,
    successor: SurveyedInstance,
    instances: readonly SurveyedInstance[],
    nowMs: number,
): boolean => {
    const isListed = instances.some(({ id, isDraining, state: each }) => !isDraining && each === undefined && id !== state.lastLeaderId);
    return successor.isDraining && isListed && state.syncReplicas === 0 && nowMs - state.phaseSinceMs < STAYING_REPLICA_WAIT_MS;
};

/**
 * Orders the promotion where commits are acknowledged once replicas have received them. The primary may only be out of this
 * VM's reach. So the replicas stop receiving first, and the promotion is ordered when so many have that no commit which one of
 * the others holds alone can have been acknowledged. Until the listing is complete, an instance that it does not show may hold one.
 */
const orderWithEachCommit = (state: ReplacementState, instances: readonly SurveyedInstance[], nowMs: number): ReplacementAction[] => {
    if (!state.isListingComplete) {
        // Paused replicas would keep the primary from acknowledging commits although no promotion may be ordered yet.
        return [];
    }
    const newestTerm = Math.max(...instances.map(({ state: each }) => each === undefined ? 0 : Math.max(each.term, each.heldTerm)));
    if (state.pauseTerm === undefined) {
        state.pauseTerm = newestTerm + 1;
        return requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS);
    }
    const paused = instances.filter(({ isPaused }) => isPaused);
    const successor = chooseSuccessor(paused, undefined, state.syncReplicas);
    return successor !== undefined && holdsEachCommit(instances, state.lastLeaderId, state.syncReplicas)
        ? order(state, successor, nowMs)
        : [];
};

/** Handles a planned replacement: the primary stops accepting writes once its successor has nearly caught up, so that no commit is lost. */
const startLeadershipTransfer = (
    state: ReplacementState,
    leaving: SurveyedInstance,
    successor: SurveyedInstance,
    nowMs: number,
): ReplacementAction[] => {
    if (isOrderTimeLimited(state) && nowMs - state.claimSentAtMs >= LAST_STEP_DOWN_MS) {
        return abandon(state, nowMs, "replacement of the primary abandoned: the successor has not caught up in the time for an order");
    }
    const isCatchUpOver = state.syncReplicas === 0 && nowMs - state.phaseSinceMs >= catchUpTimeoutMs(state);
    if (countMissingCommits(successor, leaving) > MAXIMUM_MISSING_COMMITS && !isCatchUpOver) {
        return [];
    }
    enterPhase(state, ReplacementPhase.TransferringLeadership, nowMs);
    state.isSteppedDown = false;
    return [{ kind: "stepDown", instanceId: leaving.id, term: leaving.state!.term + 1 }];
};

/** Promotes the successor after the leaving primary has stopped, once it has all commits or the time to catch up is over. */
export const finishLeadershipTransfer = (
    state: ReplacementState,
    instances: readonly SurveyedInstance[],
    nowMs: number,
): ReplacementAction[] => {
    const successor = chooseSuccessor(instances, undefined, 0);
    if (successor === undefined) {
        return awaitReplicas(state, nowMs);
    }
    const leaving = instances.find(({ isDraining, state: each }) => isDraining && each !== undefined);
    const isCatchUpOver = nowMs - state.phaseSinceMs >= catchUpTimeoutMs(state);
    if (state.syncReplicas > 0) {
        return finishSynchronousTransfer(state, instances, successor, isCatchUpOver, nowMs);
    }
    return hasCaughtUp(successor, leaving) || isCatchUpOver ? order(state, successor, nowMs) : [];
};

/** Promotes the successor once it has received all that the leaving primary had when it stopped, else the one that holds each acknowledged commit. */
const finishSynchronousTransfer = (
    state: ReplacementState,
    instances: readonly SurveyedInstance[],
    successor: SurveyedInstance,
    isCatchUpOver: boolean,
    nowMs: number,
): ReplacementAction[] => {
    const leaving = instances.find(({ id }) => id === state.lastLeaderId);
    if (leaving?.state !== undefined && !leaving.state.isPrimary && hasCaughtUp(successor, leaving)) {
        return order(state, successor, nowMs);
    }
    if (!isCatchUpOver) {
        return leaving?.state?.isPrimary === true ? [{ kind: "stepDown", instanceId: leaving.id, term: leaving.state.term + 1 }] : [];
    }
    enterPhase(state, ReplacementPhase.Surveying, nowMs);
    state.reason = ReplacementReason.Down;
    return requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS);
};
