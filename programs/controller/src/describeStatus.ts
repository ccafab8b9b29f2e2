import { findUnusedReason } from "@pomeloturn/membership/buildVmViews";
import type { MembershipState } from "@pomeloturn/membership/MembershipState";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { DatabaseControl, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { GroupStatusView, InstanceStatusView, SystemStatus, VmStatusView } from "@pomeloturn/types/SystemStatus";
import type { ControllerNode } from "./ControllerNode.ts";

/** The system as this controller sees it; the instances are asked anew. */
export const describeStatus = async (
    vm: string,
    node: ControllerNode,
    database: DatabaseControl,
    onProbeFailed: (subject: string, error: Error) => void,
    nowMs: number,
): Promise<SystemStatus> => ({
    vm,
    configVersion: node.configuration.version,
    groups: await describeGroups(node.view, database, onProbeFailed, nowMs),
    vms: describeVmStatuses(vm, node, node.members.state, nowMs),
    // Use of paid links is known to the proxies, not to the controller.
    links: [],
});

const describeGroups = async (
    view: ControlView | undefined,
    database: DatabaseControl,
    onProbeFailed: (subject: string, error: Error) => void,
    nowMs: number,
): Promise<Record<string, GroupStatusView>> => {
    const groups: Record<string, GroupStatusView> = {};
    for (const [group, { term, primary, holders, leaseExpiresAtMs }] of Object.entries(view?.groups ?? {})) {
        const names = Object.keys(view!.configuration.groups[group]!.instances);
        const probes = await Promise.all(names.map(name =>
            database.probe(group, name).catch((error: Error) => {
                // The status shows the instance as not reachable.
                onProbeFailed(`${group}/${name}`, error);
                return undefined;
            })
        ));
        const written = probes[names.indexOf(primary)]?.position;
        const instances = names.map((name, index) => [name, describeInstance(holders[name], name === primary, probes[index], written)]);
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

const describeInstance = (
    holder: string | undefined,
    isPrimary: boolean,
    probe: InstanceProbe | undefined,
    written: number | undefined,
): InstanceStatusView => ({
    holder,
    isReachable: probe !== undefined,
    lagBytes: probe === undefined || written === undefined ? undefined : Math.max(0, written - probe.position),
    lagMs: isPrimary ? 0 : undefined,
});

const describeVmStatuses = (vm: string, node: ControllerNode, state: MembershipState, nowMs: number): Record<string, VmStatusView> =>
    Object.fromEntries([state.self, ...state.members.values()].map(member => [member.vm, {
        failureDomain: member.failureDomain,
        state: node.vms[member.vm]?.state ?? "gone",
        configVersion: member.vm === vm ? node.configuration.version : node.configVersions.get(member.vm),
        unusedReason: findUnusedReason(state, member, nowMs),
    }]));
