import type { TermStart } from "@pomeloturn/types/ControlView";

/** The term in which a log position was written; 0 when it lies before all remembered terms. */
export const positionTerm = (history: readonly TermStart[], position: number): number =>
    history.findLast(start => start.position <= position)?.term ?? 0;
