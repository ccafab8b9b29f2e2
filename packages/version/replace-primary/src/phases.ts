import type { ReplacementAction } from "./replacementMessages.ts";
import type { Phase, ReplacementState } from "./ReplacementState.ts";

export const enter = (state: ReplacementState, phase: Phase, nowMs: number): void => {
    state.phase = phase;
    state.phaseSinceMs = nowMs;
};

/** Requests a survey of the instances, unless one is in progress. */
export const survey = (state: ReplacementState, nowMs: number, intervalMs: number): ReplacementAction[] => {
    if (state.isSurveying) {
        return [];
    }
    state.isSurveying = true;
    state.nextSurveyAtMs = nowMs + intervalMs;
    return [{ kind: "survey" }];
};
