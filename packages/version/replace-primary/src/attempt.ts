import { enterPhase } from "./phases.ts";
import type { ReplacementAction, SurveyedInstance } from "./replacementMessages.ts";
import { isOrderTimeLimited, ReplacementPhase, type ReplacementState } from "./ReplacementState.ts";
import { ORDER_WINDOW_MS, RESUME_CHECK_DELAY_MS, RETRY_DELAY_MS } from "./replacementTiming.ts";

/** Abandons the present attempt. The next attempt starts from the beginning with a new fence. */
export const abandon = (state: ReplacementState, nowMs: number, text: string): ReplacementAction[] => {
    const details = { phase: state.phase, reason: state.reason, fence: state.authority.fence };
    if (state.pauseTerm !== undefined) {
        state.resumeCheckAtMs = nowMs + RESUME_CHECK_DELAY_MS;
    }
    enterPhase(state, ReplacementPhase.Watching, nowMs);
    state.order = undefined;
    state.isSteppedDown = false;
    state.pauseTerm = undefined;
    state.pausedUntilMs = nowMs + RETRY_DELAY_MS;
    return [{ kind: "log", text, details }];
};

/** Returns the replicas that have stopped receiving for a replacement, although the primary leads on. */
export const findPaused = (primary: SurveyedInstance, instances: readonly SurveyedInstance[]): SurveyedInstance[] =>
    instances.filter(({ state }) => state !== undefined && !state.isPrimary && state.heldTerm > primary.state!.term);

/** Lets replicas that have stopped receiving receive again from the primary, for which this VM has just ordered. */
export const resumeReplicas = (primary: SurveyedInstance, instances: readonly SurveyedInstance[]): ReplacementAction[] => {
    const paused = findPaused(primary, instances);
    return paused.length === 0 ? [] : [{ kind: "resume", instanceIds: paused.map(({ id }) => id) }];
};

export const confirm = (state: ReplacementState, primary: SurveyedInstance, nowMs: number): ReplacementAction[] => {
    if (state.phase !== ReplacementPhase.Watching) {
        enterPhase(state, ReplacementPhase.Watching, nowMs);
        state.order = undefined;
        state.isSteppedDown = false;
        state.pauseTerm = undefined;
    }
    state.lastLeaderId = primary.id;
    state.hasPausedReplicas = false;
    state.suspicion = undefined;
    state.leaderlessSinceMs = undefined;
    return [{ kind: "confirm", instanceId: primary.id, term: primary.state!.term }];
};

/** Whether the time in which this VM may order after its claim is over. */
export const isOrderWindowOver = (state: ReplacementState, nowMs: number): boolean =>
    isOrderTimeLimited(state) && nowMs - state.claimSentAtMs >= ORDER_WINDOW_MS;

export const order = (state: ReplacementState, successor: SurveyedInstance, nowMs: number): ReplacementAction[] => {
    const { fence } = state.authority;
    if (isOrderWindowOver(state, nowMs)) {
        return abandon(state, nowMs, "replacement of the primary abandoned: the claim is too long ago for an order");
    }
    if (state.lastOrder?.fence === fence && state.lastOrder.instanceId !== successor.id) {
        return abandon(
            state,
            nowMs,
            "replacement of the primary abandoned: an order for another instance with this fence may still be carried out",
        );
    }
    state.lastOrder = { fence, instanceId: successor.id };
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
