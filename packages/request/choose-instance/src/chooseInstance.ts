import type { GroupConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** A read that needs an instance. */
export interface ReadRequirement {
    readonly group: string;
    /** Position that the data must cover; undefined when any will do. */
    readonly position: LogPosition | undefined;
    readonly maximumAgeMs: number | undefined;
    /** Instances that were tried already. */
    readonly excluded: ReadonlySet<string>;
}

/** What routing knows of the group. */
export interface RoutingInputs {
    readonly groupConfiguration: GroupConfiguration;
    readonly groupView: GroupView;
    readonly statuses: ReadonlyMap<string, InstanceStatus>;
    readonly failureDomain: string;
}

/**
 * Decides which instance serves a read: a replica that covers the session's position, the own failure
 * domain first, or else the primary.
 *
 * @returns the instance's name; undefined when none can serve
 */
export const chooseInstance = (read: ReadRequirement, inputs: RoutingInputs): string | undefined => {
    const { groupConfiguration, groupView, failureDomain } = inputs;
    const candidates = Object.keys(groupConfiguration.instances)
        .filter(name => name !== groupView.primary && !read.excluded.has(name) && groupView.holders[name] !== undefined)
        .filter(name => coversPosition(read, inputs.statuses.get(instanceKey(read.group, name))));
    const local = candidates.find(name => groupConfiguration.instances[name]!.failureDomain === failureDomain);
    return local ?? candidates[0] ?? (read.excluded.has(groupView.primary) ? undefined : groupView.primary);
};

const coversPosition = (read: ReadRequirement, status: InstanceStatus | undefined): boolean => {
    if (read.position === undefined || status === undefined) {
        return read.maximumAgeMs === undefined;
    }
    return status.isReachable && status.replayed.position >= read.position.position;
};
