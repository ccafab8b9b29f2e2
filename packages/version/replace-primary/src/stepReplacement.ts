import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { abandon, confirm, findPaused, isOrderWindowOver, resumeReplicas } from "./attempt.ts";
import { findPrimary } from "./chooseSuccessor.ts";
import { decideSuccessor, finishLeadershipTransfer } from "./decideSuccessor.ts";
import { enterPhase, requestSurvey } from "./phases.ts";
import { receiveAuthority } from "./receiveAuthority.ts";
import { ProbeOutcome, type ReplacementAction, type ReplacementEvent, type SurveyedInstance } from "./replacementMessages.ts";
import { isOrderTimeLimited, ReplacementPhase, type ReplacementState } from "./ReplacementState.ts";
import {
    ORDER_RETRY_DELAY_MS,
    PHASE_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    REPLACEMENT_SURVEY_INTERVAL_MS,
    RESUME_CHECK_DELAY_MS,
    RETRY_DELAY_MS,
} from "./replacementTiming.ts";
import { watchLeader } from "./watchLeader.ts";

type Handlers = {
    readonly [Kind in ReplacementEvent["kind"]]: (
        state: ReplacementState,
        event: Extract<ReplacementEvent, { kind: Kind; }>,
        nowMs: number,
    ) => ReplacementAction[];
};

const receiveClaimAnswer = (
    state: ReplacementState,
    event: Extract<ReplacementEvent, { kind: "claimed"; }>,
    nowMs: number,
): ReplacementAction[] => {
    if (state.phase !== ReplacementPhase.Claiming) {
        return [];
    }
    const change = event.change !== undefined && event.change.authority.era < state.authority.era
        ? { isApplied: false, authority: state.authority }
        : event.change;
    state.authority = change?.authority ?? state.authority;
    if (state.reason === undefined) {
        enterPhase(state, ReplacementPhase.Watching, nowMs);
        state.pausedUntilMs = nowMs + RETRY_DELAY_MS;
        return [];
    }
    if (change?.isApplied === false) {
        state.otherVmClaimedAtMs = nowMs;
        state.resumeCheckAtMs = nowMs + RESUME_CHECK_DELAY_MS;
        return abandon(state, nowMs, "replacement of the primary abandoned: another VM has claimed the authority");
    }
    if (change === undefined && (state.authority.holder !== state.vm || isOrderTimeLimited(state))) {
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: the store did not answer the claim, and this VM may not act without its answer",
        );
    }
    if (change !== undefined && !event.isListingCurrent) {
        // A VM that could not reach the store may have missed a replacement by another VM.
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: the store lists an instance that this VM has not heard of, or its listing cannot be read",
        );
    }
    // Without an answer from the store, this VM may act under the authority that it holds: the platform rejects its order if another VM holds a newer one.
    enterPhase(state, ReplacementPhase.Surveying, nowMs);
    return requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS);
};

const receiveSurvey: Handlers["surveyed"] = (state, { instances }, nowMs) => {
    state.isSurveying = false;
    const primary = findPrimary(instances);
    const handlers: Readonly<Partial<Record<ReplacementPhase, () => ReplacementAction[]>>> = {
        watching: () => primary === undefined ? [] : watchReplicas(state, primary, instances, nowMs),
        surveying: () => decideSuccessor(state, instances, nowMs),
        transferringLeadership: () => state.isSteppedDown ? finishLeadershipTransfer(state, instances, nowMs) : [],
        confirming: () =>
            primary?.id === state.order?.instanceId && primary !== undefined
                ? [
                    {
                        kind: "log",
                        text: "the promoted instance is the primary",
                        details: { instance: primary.id, term: primary.state!.term, afterMs: nowMs - state.order!.orderedAtMs },
                    },
                    ...confirm(state, primary, nowMs),
                    ...(state.syncReplicas > 0 ? resumeReplicas(primary, instances) : []),
                ]
                : [],
    };
    return handlers[state.phase]?.() ?? [];
};

/** Confirms the primary and notes whether a VM has left replicas paused. One that still replaces the primary would have ordered by then. */
const watchReplicas = (
    state: ReplacementState,
    primary: SurveyedInstance,
    instances: readonly SurveyedInstance[],
    nowMs: number,
): ReplacementAction[] => {
    const actions = confirm(state, primary, nowMs);
    if (state.resumeCheckAtMs !== undefined && nowMs >= state.resumeCheckAtMs) {
        state.resumeCheckAtMs = undefined;
        state.hasPausedReplicas = findPaused(primary, instances).length > 0;
    }
    return actions;
};

const receiveOrderAnswer: Handlers["ordered"] = (state, { outcome }, nowMs) => {
    if (state.phase !== ReplacementPhase.Ordering || state.order === undefined) {
        return [];
    }
    if (outcome === PromotionOutcome.Accepted) {
        enterPhase(state, ReplacementPhase.Confirming, nowMs);
        return [];
    }
    if (outcome === PromotionOutcome.Refused) {
        return abandon(state, nowMs, "replacement of the primary abandoned: the platform refused the promotion");
    }
    // An order without an answer may still be carried out. The same order is repeated, so that no other instance is named with this fence.
    state.order.repeatAtMs = nowMs + ORDER_RETRY_DELAY_MS;
    return [];
};

/** Repeats the last order after a delay, or abandons the replacement when the phase has timed out. */
const repeatOrder = (state: ReplacementState, nowMs: number): ReplacementAction[] => {
    const { order: lastOrder } = state;
    if (lastOrder?.repeatAtMs === undefined || nowMs < lastOrder.repeatAtMs) {
        return [];
    }
    if (nowMs - lastOrder.orderedAtMs >= PHASE_TIMEOUT_MS || isOrderWindowOver(state, nowMs)) {
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: the platform did not answer the promotion order in time",
        );
    }
    lastOrder.repeatAtMs = undefined;
    return [{ kind: "order", instanceId: lastOrder.instanceId, fence: lastOrder.fence }];
};

const SURVEYED_PHASES: ReadonlySet<ReplacementPhase> = new Set<ReplacementPhase>([
    ReplacementPhase.Surveying,
    ReplacementPhase.TransferringLeadership,
    ReplacementPhase.Confirming,
]);

const tick: Handlers["tick"] = (state, { view }, nowMs) => {
    state.isListingComplete = view.isListingComplete;
    if (state.phase === ReplacementPhase.Watching) {
        return watchLeader(state, view, nowMs);
    }
    if (state.phase === ReplacementPhase.Ordering) {
        return repeatOrder(state, nowMs);
    }
    if (nowMs - state.phaseSinceMs > PHASE_TIMEOUT_MS) {
        return abandon(state, nowMs, `replacement of the primary abandoned: the phase ${state.phase} exceeded ${PHASE_TIMEOUT_MS} ms`);
    }
    return SURVEYED_PHASES.has(state.phase) && nowMs >= state.nextSurveyAtMs
        ? requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS)
        : [];
};

const receiveProbe: Handlers["probed"] = (state, { instanceId, outcome }, nowMs) => {
    const { suspicion } = state;
    if (suspicion === undefined || suspicion.instanceId !== instanceId) {
        return [];
    }
    if (outcome === ProbeOutcome.Alive) {
        state.suspicion = undefined;
        if (state.syncReplicas > 0) {
            // A primary whose replicas have been left paused is alive and acknowledges no commit.
            state.resumeCheckAtMs ??= nowMs + RESUME_CHECK_DELAY_MS;
        }
        return [];
    }
    suspicion.isProbing = false;
    suspicion.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    suspicion.refusedCount += outcome === ProbeOutcome.Refused ? 1 : 0;
    suspicion.silentCount += outcome === ProbeOutcome.Silent ? 1 : 0;
    return [];
};

/** Phases in which an order is still to be sent or repeated. */
const PHASES_OF_ATTEMPT: ReadonlySet<ReplacementPhase> = new Set<ReplacementPhase>([
    ReplacementPhase.Claiming,
    ReplacementPhase.Surveying,
    ReplacementPhase.TransferringLeadership,
    ReplacementPhase.Ordering,
]);

const handlers: Handlers = {
    tick,
    suspected: (state, { instanceId }, nowMs) => {
        state.suspicion ??= { instanceId, sinceMs: nowMs, refusedCount: 0, silentCount: 0, isProbing: false, nextProbeAtMs: nowMs };
        return [];
    },
    probed: receiveProbe,
    authorityChanged: (state, { authority }, nowMs) =>
        receiveAuthority(state, authority, nowMs)
            ? abandon(
                state,
                nowMs,
                "replacement of the primary abandoned: another VM holds the authority now, or a restored store has lost the claim",
            )
            : [],
    claimed: receiveClaimAnswer,
    surveyed: receiveSurvey,
    steppedDown: (state, _event, nowMs) => {
        state.isSteppedDown = true;
        return state.phase === ReplacementPhase.TransferringLeadership ? requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS) : [];
    },
    suspensionDetected: (state, _event, nowMs) =>
        isOrderTimeLimited(state) && PHASES_OF_ATTEMPT.has(state.phase)
            ? abandon(
                state,
                nowMs,
                "replacement of the primary abandoned: this VM was suspended, and another one may have claimed the authority",
            )
            : [],
    ordered: receiveOrderAnswer,
};

/**
 * Applies an event to the replacement of a service's primary.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns the actions to carry out, in order
 */
export const stepReplacement = (state: ReplacementState, event: ReplacementEvent, nowMs: number): ReplacementAction[] => {
    const handler = handlers[event.kind] as Handlers["tick"];
    return handler(state, event as Extract<ReplacementEvent, { kind: "tick"; }>, nowMs);
};
