import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { chooseSuccessor, countMissingCommits, findPrimary, hasCaughtUp } from "./chooseSuccessor.ts";
import { enterPhase, requestSurvey } from "./phases.ts";
import { receiveAuthority } from "./receiveAuthority.ts";
import { ProbeOutcome, type ReplacementAction, type ReplacementEvent, type SurveyedInstance } from "./replacementMessages.ts";
import { ReplacementPhase, ReplacementReason, type ReplacementState } from "./ReplacementState.ts";
import {
    CATCH_UP_TIMEOUT_MS,
    MAXIMUM_MISSING_COMMITS,
    ORDER_RETRY_DELAY_MS,
    PHASE_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    REPLACEMENT_SURVEY_INTERVAL_MS,
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

/** Abandons the present attempt. The next attempt starts from the beginning with a new fence. */
const abandon = (state: ReplacementState, nowMs: number, text: string): ReplacementAction[] => {
    const details = { phase: state.phase, reason: state.reason, fence: state.authority.fence };
    enterPhase(state, ReplacementPhase.Watching, nowMs);
    state.order = undefined;
    state.isSteppedDown = false;
    state.pausedUntilMs = nowMs + RETRY_DELAY_MS;
    return [{ kind: "log", text, details }];
};

const confirm = (state: ReplacementState, primary: SurveyedInstance, nowMs: number): ReplacementAction[] => {
    if (state.phase !== ReplacementPhase.Watching) {
        enterPhase(state, ReplacementPhase.Watching, nowMs);
        state.order = undefined;
        state.isSteppedDown = false;
    }
    state.suspicion = undefined;
    state.leaderlessSinceMs = undefined;
    return [{ kind: "confirm", instanceId: primary.id, term: primary.state!.term }];
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
        return abandon(state, nowMs, "replacement of the primary abandoned: another VM has claimed the authority");
    }
    if (change === undefined && state.authority.holder !== state.vm) {
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: the store did not answer the claim and this VM does not hold the authority",
        );
    }
    if (change !== undefined && !event.isListingCurrent) {
        // A VM that could not reach the store may have missed a replacement by another VM.
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: the store lists a primary that this VM has not heard of, or its listing cannot be read",
        );
    }
    // Without an answer from the store, this VM may act under the authority that it holds: the platform rejects its order if another VM holds a newer one.
    enterPhase(state, ReplacementPhase.Surveying, nowMs);
    return requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS);
};

const order = (state: ReplacementState, successor: SurveyedInstance, nowMs: number): ReplacementAction[] => {
    const { fence } = state.authority;
    state.order = { instanceId: successor.id, fence, orderedAtMs: nowMs, repeatAtMs: undefined };
    enterPhase(state, ReplacementPhase.Ordering, nowMs);
    return [
        {
            kind: "log",
            text: "ordering the platform to promote an instance",
            details: { reason: state.reason, instance: successor.id, fence, received: successor.state?.received },
        },
        { kind: "order", instanceId: successor.id, fence },
    ];
};

/** Chooses the successor after the claim, from the states that the instances reported. */
const decideSuccessor = (state: ReplacementState, instances: readonly SurveyedInstance[], nowMs: number): ReplacementAction[] => {
    const primary = findPrimary(instances);
    if (primary !== undefined && (state.reason !== ReplacementReason.Leaving || !primary.isDraining)) {
        return [...confirm(state, primary, nowMs), {
            kind: "log",
            text: "replacement of the primary not needed: an instance reports that it is the primary",
            details: { instance: primary.id },
        }];
    }
    const successor = chooseSuccessor(instances, primary?.id);
    if (successor === undefined) {
        return abandon(state, nowMs, "replacement of the primary abandoned: no replica answered the survey");
    }
    if (state.reason === ReplacementReason.Leaving && primary !== undefined) {
        return startLeadershipTransfer(state, primary, successor, nowMs);
    }
    return order(state, successor, nowMs);
};

/** Handles a planned replacement: the primary stops accepting writes once its successor has nearly caught up, so that no commit is lost. */
const startLeadershipTransfer = (
    state: ReplacementState,
    leaving: SurveyedInstance,
    successor: SurveyedInstance,
    nowMs: number,
): ReplacementAction[] => {
    const isClose = countMissingCommits(successor, leaving) <= MAXIMUM_MISSING_COMMITS || nowMs - state.phaseSinceMs >= CATCH_UP_TIMEOUT_MS;
    if (!isClose) {
        return [];
    }
    enterPhase(state, ReplacementPhase.TransferringLeadership, nowMs);
    state.isSteppedDown = false;
    return [{ kind: "stepDown", instanceId: leaving.id, term: leaving.state!.term + 1 }];
};

/** Promotes the successor after the leaving primary has stopped, once it has all commits or `CATCH_UP_TIMEOUT_MS` have passed. */
const finishLeadershipTransfer = (state: ReplacementState, instances: readonly SurveyedInstance[], nowMs: number): ReplacementAction[] => {
    const successor = chooseSuccessor(instances, undefined);
    if (successor === undefined) {
        return abandon(state, nowMs, "replacement of the primary abandoned: no replica answered the survey");
    }
    const leaving = instances.find(({ isDraining, state: each }) => isDraining && each !== undefined);
    const isComplete = hasCaughtUp(successor, leaving) || nowMs - state.phaseSinceMs >= CATCH_UP_TIMEOUT_MS;
    return isComplete ? order(state, successor, nowMs) : [];
};

const receiveSurvey: Handlers["surveyed"] = (state, { instances }, nowMs) => {
    state.isSurveying = false;
    const primary = findPrimary(instances);
    const handlers: Readonly<Partial<Record<ReplacementPhase, () => ReplacementAction[]>>> = {
        watching: () => primary === undefined ? [] : confirm(state, primary, nowMs),
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
                ]
                : [],
    };
    return handlers[state.phase]?.() ?? [];
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
    if (nowMs - lastOrder.orderedAtMs >= PHASE_TIMEOUT_MS) {
        return abandon(
            state,
            nowMs,
            `replacement of the primary abandoned: the platform did not answer the promotion order within ${PHASE_TIMEOUT_MS} ms`,
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
        return [];
    }
    suspicion.isProbing = false;
    suspicion.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    suspicion.refusedCount += outcome === ProbeOutcome.Refused ? 1 : 0;
    suspicion.silentCount += outcome === ProbeOutcome.Silent ? 1 : 0;
    return [];
};

const handlers: Handlers = {
    tick,
    suspected: (state, { instanceId }, nowMs) => {
        state.suspicion ??= { instanceId, sinceMs: nowMs, refusedCount: 0, silentCount: 0, isProbing: false, nextProbeAtMs: nowMs };
        return [];
    },
    probed: receiveProbe,
    authorityChanged: (state, { authority }, nowMs) =>
        receiveAuthority(state, authority, nowMs)
            ? abandon(state, nowMs, "replacement of the primary abandoned: the store was restored and has lost the claim of the authority")
            : [],
    claimed: receiveClaimAnswer,
    surveyed: receiveSurvey,
    steppedDown: (state, _event, nowMs) => {
        state.isSteppedDown = true;
        return state.phase === ReplacementPhase.TransferringLeadership ? requestSurvey(state, nowMs, REPLACEMENT_SURVEY_INTERVAL_MS) : [];
    },
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
