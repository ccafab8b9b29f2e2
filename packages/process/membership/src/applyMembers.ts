import { chooseNeighbors } from "./chooseNeighbors.ts";
import { Condition, type Member, supersedes } from "./Member.ts";
import { type MembershipAction, MembershipActionKind } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

/** Longest time without a heartbeat that an observer comes to accept while others refute its suspicion. */
const MAXIMUM_PATIENCE_MS = 60_000;

/** Takes in what another VM says of members and passes on what was new. */
export const applyMembers = (
    state: MembershipState,
    from: string,
    updates: readonly Member[],
    nowMs: number,
): MembershipAction[] => {
    const actions = updates.filter(({ vm }) => vm === state.self.vm).flatMap(update => receiveSelf(state, update));
    const accepted = updates.filter(update => update.vm !== state.self.vm && accept(state, update, nowMs));
    if (accepted.length === 0) {
        return actions;
    }
    const replaced = accepted.filter(({ condition }) => condition !== Condition.Gone).flatMap(update => replaceAtAddress(state, update));
    markGone(state, replaced, nowMs);
    return [...actions, ...announce(state, [...accepted, ...replaced], from)];
};

/** Changes this VM's own entry and tells all neighbors. */
export const updateSelf = (state: MembershipState, change: Partial<Member>, sequence: number): MembershipAction[] => {
    state.digests = undefined;
    state.self = { ...state.self, ...change, sequence };
    return announce(state, [state.self], "");
};

/** A neighbor that is silent is suspected; the observer's patience doubles until it hears it again. */
export const markSuspected = (state: MembershipState, member: Member, patienceMs: number, nowMs: number): MembershipAction[] => {
    const suspected = { ...member, condition: Condition.Suspected };
    state.members.set(member.vm, suspected);
    state.changedAtMs.set(member.vm, nowMs);
    state.patienceMs.set(member.vm, Math.min(MAXIMUM_PATIENCE_MS, patienceMs * 2));
    return announce(state, [suspected], "");
};

/** Each controller concludes by itself that an unrefuted suspicion holds, so that nothing is sent for it. */
export const markGone = (state: MembershipState, members: readonly Member[], nowMs: number): MembershipAction[] => {
    if (members.length === 0) {
        return [];
    }
    state.digests = undefined;
    for (const member of members) {
        state.members.set(member.vm, { ...member, condition: Condition.Gone });
        state.changedAtMs.set(member.vm, nowMs);
        state.patienceMs.delete(member.vm);
    }
    updateNeighbors(state, nowMs);
    return [{ kind: MembershipActionKind.Changed }];
};

/** Whatever others say of this VM, it is alive: a later sequence says so. */
const receiveSelf = (state: MembershipState, update: Member): MembershipAction[] => {
    const { self } = state;
    if (update.incarnation > self.incarnation) {
        return [{ kind: MembershipActionKind.Superseded }];
    }
    if (update.incarnation < self.incarnation || !supersedes(update, self)) {
        return [];
    }
    return updateSelf(state, {}, update.sequence + 1);
};

const accept = (state: MembershipState, update: Member, nowMs: number): boolean => {
    const known = state.members.get(update.vm);
    if (!supersedes(update, known)) {
        return false;
    }
    state.digests = undefined;
    state.members.set(update.vm, update);
    if (update.condition === Condition.Alive) {
        state.heardAtMs.set(update.vm, nowMs);
    }
    else {
        state.changedAtMs.set(update.vm, nowMs);
    }
    if (update.condition !== Condition.Suspected || known === undefined) {
        updateNeighbors(state, nowMs);
    }
    return true;
};

/** Members whose address a VM with a later incarnation has taken over, as gone. */
const replaceAtAddress = (state: MembershipState, update: Member): Member[] =>
    [...state.members.values()]
        .filter(other =>
            other.vm !== update.vm && other.host === update.host && other.controllerPort === update.controllerPort
            && other.condition !== Condition.Gone && other.incarnation < update.incarnation
        )
        .map(other => ({ ...other, condition: Condition.Gone }));

const updateNeighbors = (state: MembershipState, nowMs: number): void => {
    state.neighbors = chooseNeighbors(state.self, state.members.values());
    for (const vm of state.neighbors.incoming) {
        // A new neighbor has an interval of its own before it can be silent.
        state.heardAtMs.set(vm, state.heardAtMs.get(vm) ?? nowMs);
    }
};

/** Tells all neighbors but the one that it came from. */
const announce = (state: MembershipState, members: readonly Member[], from: string): MembershipAction[] => {
    const targets = new Set([...state.neighbors.outgoing, ...state.neighbors.incoming]);
    targets.delete(from);
    const sends = [...targets].map(vm => ({ kind: MembershipActionKind.SendMembers, vm, members }));
    return [{ kind: MembershipActionKind.Changed }, ...sends];
};
