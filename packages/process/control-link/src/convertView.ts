import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { Configuration } from "@pomeloturn/types/Configuration";
import type { ControlView, GroupView, VmView } from "@pomeloturn/types/ControlView";

type IViewUpdate = pomeloturn.control.IViewUpdate;

/**
 * Builds the update that turns `before` into `after`.
 *
 * @param before undefined for a complete update
 * @returns undefined when nothing has changed
 */
export const buildViewUpdate = (before: ControlView | undefined, after: ControlView): IViewUpdate | undefined => {
    const update: IViewUpdate = {
        configurationVersion: after.configVersion,
        configuration: before?.configuration === after.configuration ? "" : JSON.stringify(after.configuration),
        vms: before?.vms === after.vms ? "" : JSON.stringify(after.vms),
        groups: Object.entries(after.groups)
            .filter(([group, view]) => !isSameGroup(before?.groups[group], view))
            .map(([group, view]) => toGroupUpdate(group, view)),
        leases: Object.entries(after.groups)
            .filter(([group, view]) => before?.groups[group]?.leaseExpiresAtMs !== view.leaseExpiresAtMs)
            .map(([group, { leaseExpiresAtMs }]) => ({ group, expiresAtMs: leaseExpiresAtMs ?? 0 })),
        removedGroups: Object.keys(before?.groups ?? {}).filter(group => after.groups[group] === undefined),
    };
    return isEmpty(update) ? undefined : update;
};

/** Applies an update to a proxy's view. @returns a new view; `before` is not modified */
export const applyViewUpdate = (before: ControlView, update: IViewUpdate): ControlView => {
    const groups: Record<string, GroupView> = { ...before.groups };
    for (const group of update.removedGroups ?? []) {
        delete groups[group];
    }
    for (const group of update.groups ?? []) {
        const name = group.group ?? "";
        groups[name] = { ...toGroupView(group), ...leaseOf(groups[name]) };
    }
    for (const { group, expiresAtMs } of update.leases ?? []) {
        const known = groups[group ?? ""];
        if (known !== undefined) {
            groups[group ?? ""] = { ...withoutLease(known), ...(expiresAtMs ? { leaseExpiresAtMs: expiresAtMs } : {}) };
        }
    }
    return {
        configVersion: update.configurationVersion ?? 0,
        configuration: update.configuration ? JSON.parse(update.configuration) as Configuration : before.configuration,
        vms: update.vms ? JSON.parse(update.vms) as Record<string, VmView> : before.vms,
        groups,
    };
};

const isEmpty = ({ configuration, vms, groups, leases, removedGroups }: IViewUpdate): boolean =>
    configuration === "" && vms === "" && [groups, leases, removedGroups].every(each => each?.length === 0);

const isSameGroup = (before: GroupView | undefined, after: GroupView): boolean =>
    before !== undefined && before.term === after.term && before.primary === after.primary
    && before.holders === after.holders && before.leavingInstances === after.leavingInstances
    && before.history === after.history;

const toGroupUpdate = (group: string, view: GroupView): pomeloturn.control.IGroupUpdate => ({
    group,
    term: view.term,
    primary: view.primary,
    history: [...view.history],
    holders: { ...view.holders },
    leavingInstances: [...(view.leavingInstances ?? [])],
});

const toGroupView = (message: pomeloturn.control.IGroupUpdate): GroupView => ({
    term: message.term ?? 0,
    primary: message.primary ?? "",
    history: (message.history ?? []).map(({ term, position }) => ({ term: term ?? 0, position: position ?? 0 })),
    holders: message.holders ?? {},
    leavingInstances: message.leavingInstances ?? [],
});

const withoutLease = (view: GroupView): GroupView => {
    const copy: { -readonly [Key in keyof GroupView]: GroupView[Key]; } = { ...view };
    delete copy.leaseExpiresAtMs;
    return copy;
};

const leaseOf = (view: GroupView | undefined): Pick<GroupView, "leaseExpiresAtMs"> =>
    view?.leaseExpiresAtMs === undefined ? {} : { leaseExpiresAtMs: view.leaseExpiresAtMs };
