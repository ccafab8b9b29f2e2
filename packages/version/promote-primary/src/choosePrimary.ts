import { isPrefixOfHistory } from "@pomeloturn/group-lease/isPrefixOfHistory";
import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import type { TermStart } from "@pomeloturn/types/ControlView";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/** Number of terms in the row's history. Sessions with tokens of older terms read from the primary. */
const MAXIMUM_HISTORY_TERMS = 64;

/** Whether an instance may become the primary: a replica whose log is a prefix of the group's log. */
export const isEligible = (probe: InstanceProbe, history: readonly TermStart[], guards: LeaseGuards): boolean =>
    probe.isReplica && (!guards.isHistoryChecked || isPrefixOfHistory(probe, history));

/**
 * Chooses the replica with the most complete log: the newest timeline, then the highest position, then the first name.
 *
 * @returns undefined when there are no candidates
 */
export const choosePrimary = (candidates: ReadonlyMap<string, InstanceProbe>): string | undefined => {
    const ordered = [...candidates].sort(([leftName, left], [rightName, right]) =>
        right.timeline - left.timeline || right.position - left.position || (leftName < rightName ? -1 : 1)
    );
    return ordered[0]?.[0];
};

/** Adds a term that starts at the chosen replica's position. Start positions of earlier terms are capped at that position. */
export const extendHistory = (history: readonly TermStart[], term: number, { position, timeline }: InstanceProbe): TermStart[] => [
    ...history.slice(1 - MAXIMUM_HISTORY_TERMS).map(start => ({ ...start, position: Math.min(start.position, position) })),
    { term, position, fromTimeline: timeline },
];
