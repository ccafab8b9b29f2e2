import type { Holders } from "@pomeloturn/assign-holders/assignHolders";
import type { Configuration } from "@pomeloturn/types/Configuration";
import { type ControlView, type GroupView, VmState, type VmView } from "@pomeloturn/types/ControlView";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";

/** Values from which the view of this VM's proxy is built. */
export interface ViewInputs {
    readonly configVersion: number;
    readonly configuration: Configuration;
    readonly vms: Readonly<Record<string, VmView>>;
    readonly holders: Holders;
    /** Backend VMs that are leaving, each as "host failureDomain". */
    readonly leavingBackends: ReadonlySet<string>;
    readonly leadership: ReadonlyMap<string, GroupLeadership>;
}

/** Builds the proxy's view. Parts that equal those of `previous` are reused as the same objects, so that only changes are sent. */
export const buildView = (previous: ControlView | undefined, inputs: ViewInputs): ControlView => {
    const { configVersion, configuration, leadership } = inputs;
    const vms = Object.fromEntries(Object.entries(inputs.vms).filter(([, { state }]) => state !== VmState.Gone));
    const groups: Record<string, GroupView> = {};
    for (const group of Object.keys(configuration.groups)) {
        const groupLeadership = leadership.get(group);
        if (groupLeadership !== undefined) {
            groups[group] = buildGroupView(previous?.groups[group], inputs, group, groupLeadership);
        }
    }
    return { configVersion, configuration, vms: reuseIfEqual(previous?.vms, vms), groups };
};

const buildGroupView = (
    previous: GroupView | undefined,
    inputs: ViewInputs,
    group: string,
    groupLeadership: GroupLeadership,
): GroupView => {
    const { instances } = inputs.configuration.groups[group]!;
    const leavingInstances = Object.entries(instances)
        .filter(([, { host, failureDomain }]) => inputs.leavingBackends.has(`${host} ${failureDomain}`))
        .map(([instance]) => instance);
    return {
        term: groupLeadership.term,
        primary: groupLeadership.primary,
        history: reuseIfEqual(previous?.history, groupLeadership.history),
        holders: reuseIfEqual(previous?.holders, { ...inputs.holders[group], [groupLeadership.primary]: groupLeadership.holder }),
        leavingInstances: reuseIfEqual(previous?.leavingInstances, leavingInstances),
        ...(groupLeadership.leaseExpiresAtMs === undefined ? {} : { leaseExpiresAtMs: groupLeadership.leaseExpiresAtMs }),
    };
};

const reuseIfEqual = <Value extends object>(previous: Value | undefined, next: Value): Value =>
    previous !== undefined && JSON.stringify(previous) === JSON.stringify(next) ? previous : next;
