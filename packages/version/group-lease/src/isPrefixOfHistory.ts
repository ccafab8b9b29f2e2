import type { TermStart } from "@pomeloturn/types/ControlView";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/**
 * Whether a replica's log is a prefix of the group's log. On a timeline that a promotion has ended, the replica's
 * position must not exceed the start position of the next term.
 */
export const isPrefixOfHistory = (probe: InstanceProbe, history: readonly TermStart[]): boolean =>
    history.every(({ fromTimeline, position }) =>
        fromTimeline === undefined || probe.timeline > fromTimeline || probe.position <= position
    );
