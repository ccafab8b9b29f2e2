import type { TermStart } from "@pomeloturn/types/ControlView";
import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/**
 * Tells whether a replica's log is a beginning of the group's log: on a timeline that a promotion left behind it must
 * not be past the position at which the next term began.
 */
export const isOnHistory = (probe: InstanceProbe, history: readonly TermStart[]): boolean =>
    history.every(({ fromTimeline, position }) =>
        fromTimeline === undefined || probe.timeline > fromTimeline || probe.position <= position
    );
