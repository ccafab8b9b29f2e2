import type { TermStart } from "@pomeloturn/types/ControlView";

/** Returns the term in which a log position was written; 0 when it precedes all terms of `history`. */
export const findTermAt = (history: readonly TermStart[], position: number): number =>
    history.findLast(start => start.position <= position)?.term ?? 0;
