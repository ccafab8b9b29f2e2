import type { TermStart } from "@pomeloturn/types/ControlView";
import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** How the replayed position of an instance compares with the position that a read requires. */
export const Coverage = {
    Covered: "covered",
    /** The instance is on the group's history but has not replayed the position yet. */
    Behind: "behind",
    /** The instance contains data that is not part of the present history. */
    Diverged: "diverged",
    /** The required position is not part of the present history: the write was lost in a promotion. */
    Lost: "lost",
    /** One of the positions has a newer term than the history known to this VM. */
    UnknownTerm: "unknownTerm",
} as const;
export type Coverage = typeof Coverage[keyof typeof Coverage];

/** A group's present term, and the starts of the retained terms, oldest first. */
export interface GroupHistory {
    readonly term: number;
    readonly history: readonly TermStart[];
}

/**
 * Returns whether a position is part of the present history: it must not lie past the start of any later term. A
 * term may start at a lower position than an earlier term did, so the starts of all later terms are checked. A position
 * counts as lost when later terms than its own are no longer retained.
 */
export const isInHistory = (position: LogPosition, { history }: GroupHistory): boolean => {
    const oldestTerm = history[0]?.term ?? position.term;
    const areLaterTermsRetained = position.term >= oldestTerm - 1;
    return areLaterTermsRetained && history.every(start => start.term <= position.term || position.position <= start.position);
};

/**
 * Compares the replayed position of an instance with a required position: whether the instance's data contains
 * everything that was written up to `required`.
 *
 * @param required position that the data must cover; term 0 accepts any position
 */
export const positionCoverage = (replayed: LogPosition, required: LogPosition, group: GroupHistory): Coverage => {
    if (required.term > group.term || replayed.term > group.term) {
        return Coverage.UnknownTerm;
    }
    if (required.term !== 0 && !isInHistory(required, group)) {
        return Coverage.Lost;
    }
    if (!isInHistory(replayed, group)) {
        return Coverage.Diverged;
    }
    return required.term === 0 || required.position <= replayed.position ? Coverage.Covered : Coverage.Behind;
};
