import { VmState, type VmView } from "@pomeloturn/types/ControlView";
import { hashText } from "./hash.ts";
import { LISTING_VALIDITY_MS } from "./listing.ts";
import { Condition, type Member } from "./Member.ts";
import type { MembershipState } from "./MembershipState.ts";

/** Additional delay of each next controller in the order of pollers, which polls only when those before it do not. */
const POLLER_STAGGER_MS = 2_000;
const POLL_INTERVAL_MS = 1_000;
/** Maximum number of controllers of a failure domain that poll the platform. */
const POLLER_LIMIT = 10;

/**
 * Returns the state of each entry VM by its name. A VM is live when it sends heartbeats and the platform lists it;
 * a VM for which one of them is missing gets no new work. When the list is older than `LISTING_VALIDITY_MS`, the
 * heartbeats alone decide.
 */
export const buildVmViews = (state: MembershipState, nowMs: number): Record<string, VmView> =>
    Object.fromEntries([state.self, ...state.members.values()].map(member => [member.vm, describeVm(state, member, nowMs)]));

const describeVm = (state: MembershipState, member: Member, nowMs: number): VmView => {
    const { host, peerPort, controllerPort, failureDomain } = member;
    return { host, peerPort, controllerPort, failureDomain, state: chooseState(state, member, nowMs) };
};

const chooseState = (state: MembershipState, member: Member, nowMs: number): VmState => {
    if (member.condition === Condition.Gone) {
        return VmState.Gone;
    }
    return findUnusedReason(state, member, nowMs) === undefined ? VmState.Live : VmState.Leaving;
};

/** Returns the reason why a VM gets no new work; undefined when it does. */
export const findUnusedReason = (state: MembershipState, member: Member, nowMs: number): string | undefined => {
    if (member.condition === Condition.Gone) {
        return "the VM sends no heartbeats";
    }
    if (member.isLeaving) {
        return "the VM is shutting down";
    }
    const { listing } = state;
    const listed = listing?.vms.get(member.vm);
    if (listed?.isLeaving === true) {
        return "the platform lists the VM as leaving";
    }
    const isTrusted = listing !== undefined && nowMs - listing.listedAtMs < LISTING_VALIDITY_MS;
    return isTrusted && listed === undefined ? "the platform does not list the VM" : undefined;
};

/**
 * Decides whether this controller polls the platform now. In each failure domain the first controller by hash polls
 * at each interval, and the next ones only when the result of those before them has not arrived.
 *
 * @param ageMs age of the latest result in milliseconds; undefined when there is none
 */
export const shouldPoll = (state: MembershipState, ageMs: number | undefined): boolean => {
    const ownHash = hashText(state.self.vm);
    const earlierPollerCount =
        [...state.members.values()].filter(({ vm, failureDomain, condition }) =>
            condition === Condition.Alive && failureDomain === state.self.failureDomain && hashText(vm) < ownHash
        ).length;
    return earlierPollerCount < POLLER_LIMIT && (ageMs === undefined || ageMs >= POLL_INTERVAL_MS + earlierPollerCount * POLLER_STAGGER_MS);
};

/** Returns the backend VMs that the platform lists as leaving, as "host failureDomain". */
export const findLeavingBackends = (state: MembershipState): ReadonlySet<string> =>
    new Set(
        [...(state.listing?.vms.values() ?? [])]
            .filter(({ name, isLeaving }) => isLeaving && name !== state.self.vm && !state.members.has(name))
            .map(({ host, failureDomain }) => `${host} ${failureDomain}`),
    );
