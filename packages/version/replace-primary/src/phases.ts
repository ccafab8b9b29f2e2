import type { ReplacementAction } from "./replacementMessages.ts";
import type { Phase, ReplacementState } from "./ReplacementState.ts";

/** Enters a phase. */
export const enter = (state: ReplacementState, phase: Phase, nowMs: number): void => {
    state.phase = phase;
    state.phaseSinceMs = nowMs;
};

/** Asks the instances for their state, unless that is under way. */
export const survey = (state: ReplacementState, nowMs: number, intervalMs: number): ReplacementAction[] => {
    if (state.isSurveying) {
        return [];
    }
    state.isSurveying = true;
    state.nextSurveyAtMs = nowMs + intervalMs;
    return [{ kind: "survey" }];
};
