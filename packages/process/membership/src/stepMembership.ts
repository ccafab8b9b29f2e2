import { applyMembers, markGone, markSuspected, updateSelf } from "./applyMembers.ts";
import { buildHeartbeat, receiveHeartbeat } from "./heartbeats.ts";
import { applyListingChange, applyPlatformListing, buildCompleteListing } from "./listing.ts";
import { Condition } from "./Member.ts";
import { type MembershipAction, MembershipActionKind, type MembershipEvent } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Initial time without a heartbeat after which a neighbor is suspected: longer than a pause of 1 s plus an interval. */
export const INITIAL_HEARTBEAT_TIMEOUT_MS = 2_500;
/** Time for a suspected VM to refute the suspicion before it is marked as gone. */
export const SUSPICION_TIMEOUT_MS = 1_000;
/** Delay of a tick from which this process is considered to have been paused. */
const PAUSE_THRESHOLD_MS = 500;
const RECONNECT_INTERVAL_MS = 5_000;
/** Time for which a VM that is gone is kept, so that it can be contacted again: outlasts a store outage of an hour. */
const GONE_RETENTION_MS = 2 * 60 * 60 * 1_000;

type Handler<Event extends MembershipEvent> = (state: MembershipState, event: Event, nowMs: number) => MembershipAction[];
type Handlers = { readonly [Kind in MembershipEvent["kind"]]: Handler<Extract<MembershipEvent, { kind: Kind; }>>; };

const handlers: Handlers = {
    tick: (state, _event, nowMs) => {
        compensateForPause(state, nowMs);
        const actions = [...suspectUnresponsive(state, nowMs), ...expireSuspected(state, nowMs)];
        removeExpired(state, nowMs);
        const heartbeat = buildHeartbeat(state, nowMs);
        const targets = [...state.neighbors.outgoing, ...chooseReconnectTarget(state, nowMs)];
        return [...actions, ...targets.map(vm => ({ kind: MembershipActionKind.SendHeartbeat, vm, heartbeat }))];
    },
    heartbeat: receiveHeartbeat,
    members: (state, { from, members }, nowMs) => applyMembers(state, from, members, nowMs),
    membersRequest: (state, { from, failureDomain }) => {
        const all = [state.self, ...state.members.values()];
        const members = failureDomain === "" ? all : all.filter(each => each.failureDomain === failureDomain);
        return [{ kind: MembershipActionKind.SendMembers, vm: from, members }];
    },
    listed: applyPlatformListing,
    listingChange: applyListingChange,
    listingRequest: (state, { from }, nowMs) => buildCompleteListing(state, from, nowMs),
    leave: state => updateSelf(state, { isLeaving: true }, state.self.sequence + 1),
};

/** Applies an event to the membership and returns the resulting actions. @param nowMs monotonic time in milliseconds */
export const stepMembership = (state: MembershipState, event: MembershipEvent, nowMs: number): MembershipAction[] => {
    const handler = handlers[event.kind] as Handler<MembershipEvent>;
    return handler(state, event, nowMs);
};

/** Shifts the recorded times by the duration of a pause of this process, which must not count as silence of other VMs. */
const compensateForPause = (state: MembershipState, nowMs: number): void => {
    const lateMs = nowMs - state.lastTickAtMs - HEARTBEAT_INTERVAL_MS;
    state.lastTickAtMs = nowMs;
    if (lateMs < PAUSE_THRESHOLD_MS) {
        return;
    }
    for (const times of [state.lastAliveAtMs, state.conditionChangedAtMs]) {
        for (const [vm, timeMs] of times) {
            times.set(vm, Math.min(nowMs, timeMs + lateMs));
        }
    }
};

const suspectUnresponsive = (state: MembershipState, nowMs: number): MembershipAction[] =>
    state.neighbors.incoming.flatMap(vm => {
        const member = state.members.get(vm);
        const sinceHeartbeatMs = nowMs - (state.lastAliveAtMs.get(vm) ?? nowMs);
        const heartbeatTimeoutMs = state.heartbeatTimeoutMs.get(vm) ?? INITIAL_HEARTBEAT_TIMEOUT_MS;
        if (member === undefined || member.condition !== Condition.Alive || sinceHeartbeatMs < heartbeatTimeoutMs) {
            return [];
        }
        return markSuspected(state, member, heartbeatTimeoutMs, nowMs);
    });

const expireSuspected = (state: MembershipState, nowMs: number): MembershipAction[] => {
    const expired = [...state.members.values()].filter(({ vm, condition }) =>
        condition === Condition.Suspected && nowMs - (state.conditionChangedAtMs.get(vm) ?? nowMs) >= SUSPICION_TIMEOUT_MS
    );
    return markGone(state, expired, nowMs);
};

/** Removes the VMs that have been gone for `GONE_RETENTION_MS`. */
const removeExpired = (state: MembershipState, nowMs: number): void => {
    for (const { vm, condition } of [...state.members.values()]) {
        if (condition === Condition.Gone && nowMs - (state.conditionChangedAtMs.get(vm) ?? nowMs) >= GONE_RETENTION_MS) {
            state.members.delete(vm);
            state.conditionChangedAtMs.delete(vm);
            state.lastAliveAtMs.delete(vm);
            state.heartbeatTimeoutMs.delete(vm);
        }
    }
};

/** Selects one VM that is gone for a heartbeat, in turn, so that both sides of a partition find each other after it ends. */
const chooseReconnectTarget = (state: MembershipState, nowMs: number): string[] => {
    if (nowMs - state.lastReconnectAtMs < RECONNECT_INTERVAL_MS) {
        return [];
    }
    state.lastReconnectAtMs = nowMs;
    const gone = [...state.members.values()].filter(({ condition }) => condition === Condition.Gone);
    const chosen = gone[state.reconnectIndex++ % Math.max(1, gone.length)];
    return chosen === undefined ? [] : [chosen.vm];
};
