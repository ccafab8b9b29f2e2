import { findUnusedReason } from "@pomeloturn/membership/buildVmViews";
import type { MembershipState } from "@pomeloturn/membership/MembershipState";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { DatabaseControl, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { GroupStatusView, InstanceStatusView, SystemStatus, VmStatusView } from "@pomeloturn/types/SystemStatus";
import type { ControllerNode } from "./ControllerNode.ts";

/**
 * Builds the system's status as this controller sees it. Probes each instance and calls `onProbeFailed` with
 * "group/instance" for each one that cannot be reached.
 */
export const buildSystemStatus = async (
    vm: string,
    node: ControllerNode,
    database: DatabaseControl,
    onProbeFailed: (subject: string, error: Error) => void,
    nowMs: number,
): Promise<SystemStatus> => ({
    vm,
    configVersion: node.activeConfiguration.version,
    groups: await buildGroupStatuses(node.view, database, onProbeFailed, nowMs),
    vms: buildVmStatuses(vm, node, node.members.state, nowMs),
    // Only the proxies know the use of paid links.
    links: [],
});

const buildGroupStatuses = async (
    view: ControlView | undefined,
    database: DatabaseControl,
    onProbeFailed: (subject: string, error: Error) => void,
    nowMs: number,
): Promise<Record<string, GroupStatusView>> => {
    const groups: Record<string, GroupStatusView> = {};
    for (const [group, { term, primary, holders, leaseExpiresAtMs }] of Object.entries(view?.groups ?? {})) {
        const instanceNames = Object.keys(view!.configuration.groups[group]!.instances);
        const probes = await Promise.all(instanceNames.map(name =>
            database.probe(group, name).catch((error: Error) => {
                // The status shows the instance as unreachable.
                onProbeFailed(`${group}/${name}`, error);
                return undefined;
            })
        ));
        const primaryPosition = probes[instanceNames.indexOf(primary)]?.position;
        const instances = instanceNames.map((
            name,
            index,
        ) => [name, buildInstanceStatus(holders[name], name === primary, probes[index], primaryPosition)]);
        groups[group] = {
            term,
            primary,
            holder: holders[primary] ?? "",
            leaseLeftMs: leaseExpiresAtMs === undefined ? undefined : Math.max(0, leaseExpiresAtMs - nowMs),
            instances: Object.fromEntries(instances) as Record<string, InstanceStatusView>,
        };
    }
    return groups;
};

const buildInstanceStatus = (
    holder: string | undefined,
    isPrimary: boolean,
    probe: InstanceProbe | undefined,
    primaryPosition: number | undefined,
): InstanceStatusView => ({
    holder,
    isReachable: probe !== undefined,
    lagBytes: probe === undefined || primaryPosition === undefined ? undefined : Math.max(0, primaryPosition - probe.position),
    lagMs: isPrimary ? 0 : undefined,
});

const buildVmStatuses = (vm: string, node: ControllerNode, state: MembershipState, nowMs: number): Record<string, VmStatusView> =>
    Object.fromEntries([state.self, ...state.members.values()].map(member => [member.vm, {
        failureDomain: member.failureDomain,
        state: node.vms[member.vm]?.state ?? "gone",
        configVersion: member.vm === vm ? node.activeConfiguration.version : node.configVersions.get(member.vm),
        unusedReason: findUnusedReason(state, member, nowMs),
    }]));
