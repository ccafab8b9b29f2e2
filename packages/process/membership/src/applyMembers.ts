import { chooseNeighbors } from "./chooseNeighbors.ts";
import { Condition, type Member, supersedes } from "./Member.ts";
import { type MembershipAction, MembershipActionKind } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

/** Limit of the heartbeat timeout, which doubles each time that a suspicion is raised. */
const MAXIMUM_HEARTBEAT_TIMEOUT_MS = 60_000;

/** Applies member states from another VM and forwards those that are new to the neighbors. */
export const applyMembers = (
    state: MembershipState,
    from: string,
    updates: readonly Member[],
    nowMs: number,
): MembershipAction[] => {
    const actions = updates.filter(({ vm }) => vm === state.self.vm).flatMap(update => applyUpdateAboutSelf(state, update));
    const accepted = updates.filter(update => update.vm !== state.self.vm && applyUpdate(state, update, nowMs));
    if (accepted.length === 0) {
        return actions;
    }
    const replaced = accepted.filter(({ condition }) => condition !== Condition.Gone).flatMap(update => findReplacedMembers(state, update));
    markGone(state, replaced, nowMs);
    return [...actions, ...sendToNeighbors(state, [...accepted, ...replaced], from)];
};

/** Changes this VM's own entry and sends it to all neighbors. */
export const updateSelf = (state: MembershipState, change: Partial<Member>, sequence: number): MembershipAction[] => {
    state.digests = undefined;
    state.self = { ...state.self, ...change, sequence };
    return sendToNeighbors(state, [state.self], "");
};

/** Marks a neighbor as suspected and doubles its heartbeat timeout until its next heartbeat. */
export const markSuspected = (state: MembershipState, member: Member, heartbeatTimeoutMs: number, nowMs: number): MembershipAction[] => {
    const suspected = { ...member, condition: Condition.Suspected };
    state.members.set(member.vm, suspected);
    state.conditionChangedAtMs.set(member.vm, nowMs);
    state.heartbeatTimeoutMs.set(member.vm, Math.min(MAXIMUM_HEARTBEAT_TIMEOUT_MS, heartbeatTimeoutMs * 2));
    return sendToNeighbors(state, [suspected], "");
};

/** Marks members as gone. Nothing is sent, because each controller times out a suspicion that is not refuted by itself. */
export const markGone = (state: MembershipState, members: readonly Member[], nowMs: number): MembershipAction[] => {
    if (members.length === 0) {
        return [];
    }
    state.digests = undefined;
    for (const member of members) {
        state.members.set(member.vm, { ...member, condition: Condition.Gone });
        state.conditionChangedAtMs.set(member.vm, nowMs);
        state.heartbeatTimeoutMs.delete(member.vm);
    }
    updateNeighbors(state, nowMs);
    return [{ kind: MembershipActionKind.Changed }];
};

/** Refutes an update about this VM from another one by raising the sequence. */
const applyUpdateAboutSelf = (state: MembershipState, update: Member): MembershipAction[] => {
    const { self } = state;
    if (update.incarnation > self.incarnation) {
        return [{ kind: MembershipActionKind.Superseded }];
    }
    if (update.incarnation < self.incarnation || !supersedes(update, self)) {
        return [];
    }
    return updateSelf(state, {}, update.sequence + 1);
};

const applyUpdate = (state: MembershipState, update: Member, nowMs: number): boolean => {
    const known = state.members.get(update.vm);
    if (!supersedes(update, known)) {
        return false;
    }
    state.digests = undefined;
    state.members.set(update.vm, update);
    if (update.condition === Condition.Alive) {
        state.lastAliveAtMs.set(update.vm, nowMs);
    }
    else {
        state.conditionChangedAtMs.set(update.vm, nowMs);
    }
    if (update.condition !== Condition.Suspected || known === undefined) {
        updateNeighbors(state, nowMs);
    }
    return true;
};

/** Returns the members whose address has been taken over by a VM with a later incarnation, marked as gone. */
const findReplacedMembers = (state: MembershipState, update: Member): Member[] =>
    [...state.members.values()]
        .filter(other =>
            other.vm !== update.vm && other.host === update.host && other.controllerPort === update.controllerPort
            && other.condition !== Condition.Gone && other.incarnation < update.incarnation
        )
        .map(other => ({ ...other, condition: Condition.Gone }));

const updateNeighbors = (state: MembershipState, nowMs: number): void => {
    state.neighbors = chooseNeighbors(state.self, state.members.values());
    for (const vm of state.neighbors.incoming) {
        // The heartbeat timeout of a new neighbor starts now.
        state.lastAliveAtMs.set(vm, state.lastAliveAtMs.get(vm) ?? nowMs);
    }
};

/** Sends members to all neighbors except `from`, the VM from which they came. */
const sendToNeighbors = (state: MembershipState, members: readonly Member[], from: string): MembershipAction[] => {
    const targets = new Set([...state.neighbors.outgoing, ...state.neighbors.incoming]);
    targets.delete(from);
    const sends = [...targets].map(vm => ({ kind: MembershipActionKind.SendMembers, vm, members }));
    return [{ kind: MembershipActionKind.Changed }, ...sends];
};
