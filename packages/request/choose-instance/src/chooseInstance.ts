import type { GroupConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import { type FreshnessRequirement, proveFreshness } from "./proveFreshness.ts";

/** A read that needs an instance. */
export interface ReadRequirement extends FreshnessRequirement {
    readonly group: string;
    /** Instances that were tried already. */
    readonly excluded: ReadonlySet<string>;
}

/** What routing knows of the group. */
export interface RoutingInputs {
    readonly groupConfiguration: GroupConfiguration;
    readonly groupView: GroupView;
    readonly statuses: ReadonlyMap<string, InstanceStatus>;
    readonly failureDomain: string;
    /** Monotonic time in milliseconds. */
    readonly nowMs: number;
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
        .filter(name => proveFreshness(read, inputs.statuses.get(instanceKey(read.group, name)), groupView, inputs.nowMs)?.isReported);
    const local = candidates.find(name => groupConfiguration.instances[name]!.failureDomain === failureDomain);
    return local ?? candidates[0] ?? (read.excluded.has(groupView.primary) ? undefined : groupView.primary);
};
