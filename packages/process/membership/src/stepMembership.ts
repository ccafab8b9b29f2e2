import { applyMembers, markGone, markSuspected, updateSelf } from "./applyMembers.ts";
import { buildHeartbeat, receiveHeartbeat } from "./heartbeats.ts";
import { applyListed, applyListingChange, describeListing } from "./listing.ts";
import { Condition } from "./Member.ts";
import { type MembershipAction, MembershipActionKind, type MembershipEvent } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without a heartbeat after which a neighbor is suspected: longer than a pause of 1 s plus an interval. */
export const SUSPECT_AFTER_MS = 2_500;
/** Time that a suspected VM has to refute. */
export const REFUTE_WITHIN_MS = 1_000;
/** A tick that comes this much late shows that this process was paused. */
const PAUSE_THRESHOLD_MS = 500;
const RECONTACT_INTERVAL_MS = 5_000;
/** Time for which a VM that is gone may return without being in the list: outlasts a store outage of an hour. */
const GONE_RETENTION_MS = 2 * 60 * 60 * 1_000;

type Handler<Event extends MembershipEvent> = (state: MembershipState, event: Event, nowMs: number) => MembershipAction[];
type Handlers = { readonly [Kind in MembershipEvent["kind"]]: Handler<Extract<MembershipEvent, { kind: Kind; }>>; };

const handlers: Handlers = {
    tick: (state, _event, nowMs) => {
        excusePause(state, nowMs);
        const actions = [...suspectSilent(state, nowMs), ...expireSuspected(state, nowMs)];
        forgetGone(state, nowMs);
        const heartbeat = buildHeartbeat(state, nowMs);
        const targets = [...state.neighbors.outgoing, ...recontact(state, nowMs)];
        return [...actions, ...targets.map(vm => ({ kind: MembershipActionKind.SendHeartbeat, vm, heartbeat }))];
    },
    heartbeat: receiveHeartbeat,
    members: (state, { from, members }, nowMs) => applyMembers(state, from, members, nowMs),
    membersRequest: (state, { from, failureDomain }) => {
        const all = [state.self, ...state.members.values()];
        const members = failureDomain === "" ? all : all.filter(each => each.failureDomain === failureDomain);
        return [{ kind: MembershipActionKind.SendMembers, vm: from, members }];
    },
    listed: applyListed,
    listingChange: applyListingChange,
    listingRequest: (state, { from }, nowMs) => describeListing(state, from, nowMs),
    leave: state => updateSelf(state, { isLeaving: true }, state.self.sequence + 1),
};

/** Applies an event to the membership. @param nowMs monotonic time in milliseconds */
export const stepMembership = (state: MembershipState, event: MembershipEvent, nowMs: number): MembershipAction[] => {
    const handler = handlers[event.kind] as Handler<MembershipEvent>;
    return handler(state, event, nowMs);
};

/** Time that this process stood still says nothing about the others. */
const excusePause = (state: MembershipState, nowMs: number): void => {
    const lateMs = nowMs - state.lastTickAtMs - HEARTBEAT_INTERVAL_MS;
    state.lastTickAtMs = nowMs;
    if (lateMs < PAUSE_THRESHOLD_MS) {
        return;
    }
    for (const times of [state.heardAtMs, state.changedAtMs]) {
        for (const [vm, timeMs] of times) {
            times.set(vm, Math.min(nowMs, timeMs + lateMs));
        }
    }
};

const suspectSilent = (state: MembershipState, nowMs: number): MembershipAction[] =>
    state.neighbors.incoming.flatMap(vm => {
        const member = state.members.get(vm);
        const silentMs = nowMs - (state.heardAtMs.get(vm) ?? nowMs);
        const patienceMs = state.patienceMs.get(vm) ?? SUSPECT_AFTER_MS;
        if (member === undefined || member.condition !== Condition.Alive || silentMs < patienceMs) {
            return [];
        }
        return markSuspected(state, member, patienceMs, nowMs);
    });

const expireSuspected = (state: MembershipState, nowMs: number): MembershipAction[] => {
    const expired = [...state.members.values()].filter(({ vm, condition }) =>
        condition === Condition.Suspected && nowMs - (state.changedAtMs.get(vm) ?? nowMs) >= REFUTE_WITHIN_MS
    );
    return markGone(state, expired, nowMs);
};

/** VMs that are gone and not in the list are forgotten, as are those that stay gone for long. */
const forgetGone = (state: MembershipState, nowMs: number): void => {
    for (const { vm, condition } of [...state.members.values()]) {
        if (condition === Condition.Gone && nowMs - (state.changedAtMs.get(vm) ?? nowMs) >= GONE_RETENTION_MS) {
            state.members.delete(vm);
            state.changedAtMs.delete(vm);
            state.heardAtMs.delete(vm);
            state.patienceMs.delete(vm);
        }
    }
};

/** Tries one VM that is gone, in turn, so that the sides of a mended partition find each other. */
const recontact = (state: MembershipState, nowMs: number): string[] => {
    if (nowMs - state.lastRecontactAtMs < RECONTACT_INTERVAL_MS) {
        return [];
    }
    state.lastRecontactAtMs = nowMs;
    const gone = [...state.members.values()].filter(({ condition }) => condition === Condition.Gone);
    const chosen = gone[state.recontactIndex++ % Math.max(1, gone.length)];
    return chosen === undefined ? [] : [chosen.vm];
};
