import type { ReplacementAction } from "./replacementMessages.ts";
import { ReplacementPhase, type ReplacementState } from "./ReplacementState.ts";

export const enterPhase = (state: ReplacementState, phase: ReplacementPhase, nowMs: number): void => {
    state.phase = phase;
    state.phaseSinceMs = nowMs;
};

/** Requests a survey of the instances, unless one is in progress. */
export const requestSurvey = (state: ReplacementState, nowMs: number, intervalMs: number): ReplacementAction[] => {
    if (state.isSurveying) {
        state.nextSurveyAtMs = Math.min(state.nextSurveyAtMs, nowMs + intervalMs);
        return [];
    }
    state.isSurveying = true;
    state.nextSurveyAtMs = nowMs + intervalMs;
    return [{ kind: "survey", pauseTerm: state.phase === ReplacementPhase.Surveying ? state.pauseTerm : undefined }];
};
