import type { Holders } from "@pomeloturn/assign-holders/assignHolders";
import type { Configuration } from "@pomeloturn/types/Configuration";
import { type ControlView, type GroupView, VmState, type VmView } from "@pomeloturn/types/ControlView";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";

/** What the view of this VM's proxy is made of. */
export interface ViewInputs {
    readonly configVersion: number;
    readonly configuration: Configuration;
    readonly vms: Readonly<Record<string, VmView>>;
    readonly holders: Holders;
    /** Backend VMs that are leaving, as "host failureDomain". */
    readonly leavingBackends: ReadonlySet<string>;
    readonly leadership: ReadonlyMap<string, GroupLeadership>;
}

/** Builds the proxy's view; what has not changed since `before` keeps its identity, so that only changes are sent. */
export const buildView = (before: ControlView | undefined, inputs: ViewInputs): ControlView => {
    const { configVersion, configuration, leadership } = inputs;
    const vms = Object.fromEntries(Object.entries(inputs.vms).filter(([, { state }]) => state !== VmState.Gone));
    const groups: Record<string, GroupView> = {};
    for (const group of Object.keys(configuration.groups)) {
        const lead = leadership.get(group);
        if (lead !== undefined) {
            groups[group] = buildGroup(before?.groups[group], inputs, group, lead);
        }
    }
    return { configVersion, configuration, vms: keep(before?.vms, vms), groups };
};

const buildGroup = (before: GroupView | undefined, inputs: ViewInputs, group: string, lead: GroupLeadership): GroupView => {
    const { instances } = inputs.configuration.groups[group]!;
    const leavingInstances = Object.entries(instances)
        .filter(([, { host, failureDomain }]) => inputs.leavingBackends.has(`${host} ${failureDomain}`))
        .map(([instance]) => instance);
    return {
        term: lead.term,
        primary: lead.primary,
        history: keep(before?.history, lead.history),
        holders: keep(before?.holders, { ...inputs.holders[group], [lead.primary]: lead.holder }),
        leavingInstances: keep(before?.leavingInstances, leavingInstances),
        ...(lead.leaseExpiresAtMs === undefined ? {} : { leaseExpiresAtMs: lead.leaseExpiresAtMs }),
    };
};

const keep = <Value extends object>(before: Value | undefined, after: Value): Value =>
    before !== undefined && JSON.stringify(before) === JSON.stringify(after) ? before : after;
