import { isOnHistory } from "@pomeloturn/group-lease/isOnHistory";
import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import type { TermStart } from "@pomeloturn/types/ControlView";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/** Terms that a row remembers. Sessions with tokens of older ones read at the primary. */
const REMEMBERED_TERMS = 64;

/** Whether an instance could become the primary: a replica whose log is a beginning of the group's log. */
export const isEligible = (probe: InstanceProbe, history: readonly TermStart[], guards: LeaseGuards): boolean =>
    probe.isReplica && (!guards.isHistoryChecked || isOnHistory(probe, history));

/** Chooses the replica that lost the least: the newest timeline, then the highest position, then the first name. */
export const choosePrimary = (candidates: ReadonlyMap<string, InstanceProbe>): string | undefined => {
    const ordered = [...candidates].sort(([leftName, left], [rightName, right]) =>
        right.timeline - left.timeline || right.position - left.position || (leftName < rightName ? -1 : 1)
    );
    return ordered[0]?.[0];
};

/** Adds a term that begins at the chosen replica's position; earlier terms end there at the latest. */
export const extendHistory = (history: readonly TermStart[], term: number, { position, timeline }: InstanceProbe): TermStart[] => [
    ...history.slice(1 - REMEMBERED_TERMS).map(start => ({ ...start, position: Math.min(start.position, position) })),
    { term, position, fromTimeline: timeline },
];
