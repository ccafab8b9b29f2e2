import type { TermStart } from "@pomeloturn/types/ControlView";
import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** Constants for what an instance's position says about a position that a read requires. */
export const Coverage = {
    Covered: "covered",
    /** The instance is on the group's history but has not reached the position. */
    Behind: "behind",
    /** The instance holds data that the present history does not have. */
    Diverged: "diverged",
    /** The required position is on no branch of the present history: the write was lost in a promotion. */
    Lost: "lost",
    /** A term is newer than the history that is known here. */
    UnknownTerm: "unknownTerm",
} as const;
export type Coverage = typeof Coverage[keyof typeof Coverage];

/** A group's present term and the starts of the remembered ones, oldest first. */
export interface GroupHistory {
    readonly term: number;
    readonly history: readonly TermStart[];
}

/**
 * Whether a position of some term is part of the present history: it must not lie past the start of any
 * later term. A later term may start before an earlier one did, so every later start counts.
 */
export const isInHistory = (position: LogPosition, { history }: GroupHistory): boolean => {
    const oldest = history[0]?.term ?? position.term;
    const areLaterTermsRemembered = position.term >= oldest - 1;
    return areLaterTermsRemembered && history.every(start => start.term <= position.term || position.position <= start.position);
};

/**
 * Decides whether data replayed up to `replayed` holds all that was written up to `required`.
 *
 * @param required term 0 when any position will do
 */
export const coversPosition = (replayed: LogPosition, required: LogPosition, group: GroupHistory): Coverage => {
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
