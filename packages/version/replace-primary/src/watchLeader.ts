import { enter, survey } from "./phases.ts";
import type { LeaderView, ReplacementAction } from "./replacementMessages.ts";
import { Phase, Reason, type ReplacementState } from "./ReplacementState.ts";
import {
    LEADERLESS_LIMIT_MS,
    PLACE_DELAY_MS,
    PLACE_LIMIT,
    REFUSED_PROBES,
    SILENT_PROBES,
    SURVEY_INTERVAL_MS,
    YIELD_MS,
} from "./replacementTiming.ts";

/** Returns the reason to replace the primary, or undefined when there is none. */
const findReason = (
    state: ReplacementState,
    view: LeaderView,
    nowMs: number,
): Reason | undefined => {
    const { suspicion, leaderlessSinceMs } = state;
    if (view.instanceCount === 0) {
        return undefined;
    }
    if (view.leaderId === undefined) {
        return leaderlessSinceMs !== undefined && nowMs - leaderlessSinceMs >= LEADERLESS_LIMIT_MS ? Reason.Leaderless : undefined;
    }
    if (view.isLeaderDraining && view.instanceCount > 1) {
        return Reason.Leaving;
    }
    const isDown = suspicion !== undefined && suspicion.instanceId === view.leaderId
        && (suspicion.refusedCount >= REFUSED_PROBES || suspicion.silentCount + suspicion.refusedCount >= SILENT_PROBES);
    return isDown ? Reason.Down : undefined;
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
    const { suspicion } = state;
    if (suspicion !== undefined && !suspicion.isProbing && nowMs >= suspicion.nextProbeAtMs) {
        suspicion.isProbing = true;
        actions.push({ kind: "probe", instanceId: suspicion.instanceId });
    }
    // A VM that cannot reach the store learns of a promotion by another VM only from the instances.
    const isLost = view.leaderId === undefined || findReason(state, view, nowMs) === Reason.Down;
    if (isLost && view.instanceCount > 0 && nowMs >= state.nextSurveyAtMs) {
        actions.push(...survey(state, nowMs, SURVEY_INTERVAL_MS));
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
    if (reason !== state.reason) {
        state.reason = reason;
        state.phaseSinceMs = nowMs;
    }
    const delayMs = Math.min(PLACE_LIMIT, view.place) * PLACE_DELAY_MS;
    const isDue = nowMs - state.phaseSinceMs >= delayMs && nowMs >= state.pausedUntilMs && nowMs - state.foreignClaimAtMs >= YIELD_MS;
    if (reason !== undefined && isDue) {
        enter(state, Phase.Claiming, nowMs);
        return [
            {
                kind: "note",
                text: "replacing the primary; claiming the authority to promote another instance",
                details: { reason, leader: view.leaderId, knownFence: state.authority.fence },
            },
            { kind: "claim", known: state.authority },
        ];
    }
    return isFirstClaimDue(state, view, nowMs) ? claimUnheldAuthority(state, nowMs) : [];
};

/** Whether this VM, as the first in order, claims an authority that no VM holds, so that it can act during an outage of the store. */
const isFirstClaimDue = (
    { authority, pausedUntilMs, firstClaimAtMs }: ReplacementState,
    { place, leaderId }: LeaderView,
    nowMs: number,
): boolean => place === 0 && leaderId !== undefined && authority.version === 0 && nowMs >= Math.max(pausedUntilMs, firstClaimAtMs);

const claimUnheldAuthority = (state: ReplacementState, nowMs: number): ReplacementAction[] => {
    state.reason = undefined;
    enter(state, Phase.Claiming, nowMs);
    return [{ kind: "claim", known: state.authority }];
};
