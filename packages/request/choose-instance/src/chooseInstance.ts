import type { Configuration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import { expectedLatencyMs, type RoutingCandidate } from "./expectedLatencyMs.ts";
import { type FreshnessRequirement, proveFreshness } from "./proveFreshness.ts";
import type { RoutingStatistics } from "./RoutingStatistics.ts";

/** Requirements of a read on the instance that serves it. */
export interface ReadRequirement extends FreshnessRequirement {
    readonly group: string;
    /** Names of the instances that were already tried. */
    readonly excluded: ReadonlySet<string>;
}

/** State that the choice of an instance is based on. */
export interface RoutingInputs {
    readonly configuration: Configuration;
    readonly groupView: GroupView;
    readonly statuses: ReadonlyMap<string, InstanceStatus>;
    readonly statistics: RoutingStatistics;
    /** Failure domain of this VM. */
    readonly failureDomain: string;
    /** Time since the session's last write to the group was acknowledged. */
    readonly sinceWriteMs: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: number;
}

/** Service time that is assumed for an instance that has not reported one. */
const DEFAULT_SERVICE_TIME_MS = 10;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Chooses the instance for a read: the replica with the lowest expected latency among those that cover the session's
 * position by their last report or are expected to by the lag estimate. Without such a replica it is the primary.
 *
 * @returns the name of the instance; undefined when no instance can serve the read
 */
export const chooseInstance = (read: ReadRequirement, inputs: RoutingInputs): string | undefined => {
    const { primary } = inputs.groupView;
    let chosen: string | undefined;
    let chosenLatencyMs = Infinity;
    for (const name of Object.keys(inputs.configuration.groups[read.group]!.instances)) {
        if (name === primary || !isUsable(name, read, inputs)) {
            continue;
        }
        const latencyMs = expectedLatencyMs(describeCandidate(name, read.group, inputs));
        if (latencyMs < chosenLatencyMs) {
            chosen = name;
            chosenLatencyMs = latencyMs;
        }
    }
    return chosen ?? (read.excluded.has(primary) ? undefined : primary);
};

const isUsable = (name: string, read: ReadRequirement, inputs: RoutingInputs): boolean => {
    const { holders, leavingInstances } = inputs.groupView;
    if (read.excluded.has(name) || holders[name] === undefined || leavingInstances?.includes(name)) {
        return false;
    }
    const key = instanceKey(read.group, name);
    const proof = proveFreshness(read, inputs.statuses.get(key), inputs.groupView, inputs.nowMs);
    return proof !== undefined && (proof.isPositionReported || inputs.statistics.expectsReplayed(key, inputs.sinceWriteMs));
};

const describeCandidate = (instance: string, group: string, inputs: RoutingInputs): RoutingCandidate => {
    const key = instanceKey(group, instance);
    const { failureDomain, slots } = inputs.configuration.groups[group]!.instances[instance]!;
    const status = inputs.statuses.get(key);
    const reportedOutstanding = status === undefined ? 0 : slots - status.freeSlots + status.queued.reduce((sum, count) => sum + count, 0);
    const serviceTimeMs = (status?.serviceTimeUs ?? 0) / MICROSECONDS_PER_MILLISECOND;
    return {
        instance,
        outstanding: Math.max(reportedOutstanding, inputs.statistics.outstandingOf(key)),
        slots,
        serviceTimeMs: serviceTimeMs > 0 ? serviceTimeMs : DEFAULT_SERVICE_TIME_MS,
        roundTripMs: 2 * oneWayMs(inputs.failureDomain, failureDomain, inputs.configuration),
    };
};

/** One-way latency between two failure domains, in milliseconds. */
const oneWayMs = (from: string, to: string, { failureDomains, latency }: Configuration): number => {
    if (from === to) {
        return 0;
    }
    return failureDomains[from] === failureDomains[to] ? latency.betweenFailureDomainsMs : latency.betweenRegionsMs;
};
