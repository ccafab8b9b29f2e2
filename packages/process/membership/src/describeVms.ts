import { VmState, type VmView } from "@pomeloturn/types/ControlView";
import { hashText } from "./hash.ts";
import { LISTING_TRUST_MS } from "./listing.ts";
import { Condition, type Member } from "./Member.ts";
import type { MembershipState } from "./MembershipState.ts";

/** Time after which the next controller in line polls the platform, when the first does not. */
const POLL_STEP_MS = 2_000;
const POLL_INTERVAL_MS = 1_000;
/** Controllers of a failure domain that poll at most. */
const POLLER_LIMIT = 10;

/**
 * Decides the state of each entry VM: live when heartbeats and list agree. A VM that one of them lacks gets no
 * new work. While the list is older than the time for which it is trusted, the heartbeats alone decide.
 */
export const describeVms = (state: MembershipState, nowMs: number): Record<string, VmView> =>
    Object.fromEntries([state.self, ...state.members.values()].map(member => [member.vm, describeVm(state, member, nowMs)]));

const describeVm = (state: MembershipState, member: Member, nowMs: number): VmView => {
    const { host, peerPort, controllerPort, failureDomain } = member;
    return { host, peerPort, controllerPort, failureDomain, state: chooseState(state, member, nowMs) };
};

const chooseState = (state: MembershipState, member: Member, nowMs: number): VmState => {
    if (member.condition === Condition.Gone) {
        return VmState.Gone;
    }
    return explainUnused(state, member, nowMs) === undefined ? VmState.Live : VmState.Leaving;
};

/** Why a VM gets no new work; undefined when it does. */
export const explainUnused = (state: MembershipState, member: Member, nowMs: number): string | undefined => {
    if (member.condition === Condition.Gone) {
        return "no heartbeats";
    }
    if (member.isLeaving) {
        return "it says that it is leaving";
    }
    const { listing } = state;
    const listed = listing?.vms.get(member.vm);
    if (listed?.isLeaving === true) {
        return "the platform lists it as leaving";
    }
    const isTrusted = listing !== undefined && nowMs - listing.listedAtMs < LISTING_TRUST_MS;
    return isTrusted && listed === undefined ? "the platform does not list it" : undefined;
};

/**
 * Decides whether this controller asks the platform now: the first of its failure domain by hash at each interval,
 * the next ones only when what the first learned is missing.
 *
 * @param ageMs age of what is known; undefined when nothing is
 */
export const shouldPoll = (state: MembershipState, ageMs: number | undefined): boolean => {
    const own = hashText(state.self.vm);
    const before =
        [...state.members.values()].filter(({ vm, failureDomain, condition }) =>
            condition === Condition.Alive && failureDomain === state.self.failureDomain && hashText(vm) < own
        ).length;
    return before < POLLER_LIMIT && (ageMs === undefined || ageMs >= POLL_INTERVAL_MS + before * POLL_STEP_MS);
};

/** Names of the backend VMs that are leaving, as "host failureDomain", by the list. */
export const leavingBackends = (state: MembershipState): ReadonlySet<string> =>
    new Set(
        [...(state.listing?.vms.values() ?? [])]
            .filter(({ name, isLeaving }) => isLeaving && name !== state.self.vm && !state.members.has(name))
            .map(({ host, failureDomain }) => `${host} ${failureDomain}`),
    );
