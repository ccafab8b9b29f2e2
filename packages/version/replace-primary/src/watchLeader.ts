import { nextFence } from "./nextFence.ts";
import { enterPhase, requestSurvey } from "./phases.ts";
import type { LeaderView, ReplacementAction } from "./replacementMessages.ts";
import { isOrderTimeLimited, ReplacementPhase, ReplacementReason, type ReplacementState } from "./ReplacementState.ts";
import {
    FAILED_PROBE_LIMIT,
    LEADERLESS_TIMEOUT_MS,
    LIMITED_CLAIM_WAIT_MS,
    MAXIMUM_STAGGER_COUNT,
    OTHER_VM_CLAIM_WAIT_MS,
    REFUSED_PROBE_LIMIT,
    SURVEY_INTERVAL_MS,
    VM_STAGGER_MS,
} from "./replacementTiming.ts";

/** Reasons for which the primary takes no part in its replacement, so that all replicas that may hold its commits have to be known. */
const REASONS_WITHOUT_PRIMARY: ReadonlySet<ReplacementReason> = new Set<ReplacementReason>([
    ReplacementReason.Down,
    ReplacementReason.Leaderless,
]);

/** Returns the reason to replace the primary, or undefined when there is none. */
const findReason = (
    state: ReplacementState,
    view: LeaderView,
    nowMs: number,
): ReplacementReason | undefined => {
    const { suspicion, leaderlessSinceMs } = state;
    if (view.instanceCount === 0) {
        return undefined;
    }
    if (view.leaderId === undefined) {
        return leaderlessSinceMs !== undefined && nowMs - leaderlessSinceMs >= LEADERLESS_TIMEOUT_MS
            ? ReplacementReason.Leaderless
            : undefined;
    }
    if (view.isLeaderDraining && view.instanceCount > 1) {
        return ReplacementReason.Leaving;
    }
    const isDown = suspicion !== undefined && suspicion.instanceId === view.leaderId
        && (suspicion.refusedCount >= REFUSED_PROBE_LIMIT || suspicion.silentCount + suspicion.refusedCount >= FAILED_PROBE_LIMIT);
    if (isDown) {
        return ReplacementReason.Down;
    }
    return state.hasPausedReplicas && state.syncReplicas > 0 ? ReplacementReason.Unreplicated : undefined;
};

/** Decides at a tick whether to probe the primary, survey the instances or start a replacement. */
export const watchLeader = (state: ReplacementState, view: LeaderView, nowMs: number): ReplacementAction[] => {
    const actions: ReplacementAction[] = [];
    if (view.leaderId !== undefined) {
        state.leaderlessSinceMs = undefined;
    }
    else {
        state.leaderlessSinceMs ??= nowMs;
    }
    if (state.suspicion !== undefined && state.suspicion.instanceId !== view.leaderId) {
        state.suspicion = undefined;
    }
    state.syncReplicas = view.syncReplicas;
    state.lastLeaderId = view.leaderId ?? state.lastLeaderId;
    const { suspicion } = state;
    if (suspicion !== undefined && !suspicion.isProbing && nowMs >= suspicion.nextProbeAtMs) {
        suspicion.isProbing = true;
        actions.push({ kind: "probe", instanceId: suspicion.instanceId });
    }
    // A VM that cannot reach the store learns of a promotion by another VM only from the instances.
    const isLost = view.leaderId === undefined || findReason(state, view, nowMs) === ReplacementReason.Down;
    const isResumeCheckDue = state.resumeCheckAtMs !== undefined && nowMs >= state.resumeCheckAtMs;
    if ((isLost || isResumeCheckDue) && view.instanceCount > 0 && nowMs >= state.nextSurveyAtMs) {
        actions.push(...requestSurvey(state, nowMs, SURVEY_INTERVAL_MS));
    }
    return [...actions, ...startIfDue(state, view, nowMs)];
};

/** Claims the authority when there is a reason to replace the primary and the delay for the VMs that act earlier is over. */
const startIfDue = (
    state: ReplacementState,
    view: LeaderView,
    nowMs: number,
): ReplacementAction[] => {
    const reason = findReason(state, view, nowMs);
    const isWaiting = reason !== undefined && REASONS_WITHOUT_PRIMARY.has(reason) && view.syncReplicas > 0 && !view.isListingComplete;
    if (isWaiting) {
        return waitForListing(state, view, reason);
    }
    state.isWaitingForListing = false;
    if (reason !== state.reason) {
        state.reason = reason;
        state.phaseSinceMs = nowMs;
    }
    const delayMs = Math.min(MAXIMUM_STAGGER_COUNT, view.vmIndex) * VM_STAGGER_MS;
    const otherVmWaitMs = isOrderTimeLimited(state) ? LIMITED_CLAIM_WAIT_MS : OTHER_VM_CLAIM_WAIT_MS;
    const isDue = nowMs - state.phaseSinceMs >= delayMs && nowMs >= state.pausedUntilMs
        && nowMs - state.otherVmClaimedAtMs >= otherVmWaitMs;
    if (reason !== undefined && isDue) {
        enterPhase(state, ReplacementPhase.Claiming, nowMs);
        state.claimSentAtMs = nowMs;
        return [
            {
                kind: "log",
                text: "replacing the primary; claiming the authority to promote another instance",
                details: {
                    reason,
                    leader: view.leaderId,
                    knownFence: state.authority.fence,
                    era: state.authority.era,
                    version: state.authority.version,
                },
            },
            { kind: "claim", known: state.authority, fence: nextFence(state.authority) },
        ];
    }
    return isFirstClaimDue(state, view, nowMs) ? claimUnheldAuthority(state, nowMs) : [];
};

/** Postpones the replacement until the listing is complete. */
const waitForListing = (
    state: ReplacementState,
    { leaderId, instanceCount }: LeaderView,
    reason: ReplacementReason,
): ReplacementAction[] => {
    const isLogged = state.isWaitingForListing;
    state.isWaitingForListing = true;
    const text = "replacement of the primary postponed: instances that hold its commits may not be listed yet";
    return isLogged ? [] : [{ kind: "log", text, details: { reason, leader: leaderId, instances: instanceCount } }];
};

/** Whether this VM, as the first in order, claims an authority that no VM holds, so that it can act during an outage of the store. */
const isFirstClaimDue = (
    { authority, pausedUntilMs, firstClaimAtMs }: ReplacementState,
    { vmIndex, leaderId }: LeaderView,
    nowMs: number,
): boolean => vmIndex === 0 && leaderId !== undefined && authority.version === 0 && nowMs >= Math.max(pausedUntilMs, firstClaimAtMs);

const claimUnheldAuthority = (state: ReplacementState, nowMs: number): ReplacementAction[] => {
    state.reason = undefined;
    enterPhase(state, ReplacementPhase.Claiming, nowMs);
    return [{ kind: "claim", known: state.authority, fence: nextFence(state.authority) }];
};
