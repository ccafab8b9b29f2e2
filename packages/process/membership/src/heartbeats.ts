import { hashMembers } from "./hashMembers.ts";
import { updateListingFromHeartbeat } from "./listing.ts";
import type { Member } from "./Member.ts";
import { type DomainDigest, type Heartbeat, type MembershipAction, MembershipActionKind } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

/** Builds the heartbeat for all outgoing neighbors. */
export const buildHeartbeat = (state: MembershipState, nowMs: number): Heartbeat => ({
    incarnation: state.self.incarnation,
    sequence: state.self.sequence,
    digests: digestDomains(state),
    listingHash: state.listing?.hash ?? 0,
    listingAgeMs: state.listing === undefined ? undefined : Math.round(nowMs - state.listing.listedAtMs),
});

/** Records that the sender is alive and requests the members and the VM list from it that the heartbeat shows to be different. */
export const receiveHeartbeat = (
    state: MembershipState,
    { from, heartbeat }: { readonly from: string; readonly heartbeat: Heartbeat; },
    nowMs: number,
): MembershipAction[] => {
    const member = state.members.get(from);
    if (member === undefined || member.incarnation < heartbeat.incarnation || member.sequence < heartbeat.sequence) {
        return [{ kind: MembershipActionKind.RequestMembers, vm: from, failureDomain: member?.failureDomain ?? "" }];
    }
    if (member.incarnation === heartbeat.incarnation) {
        state.lastAliveAtMs.set(from, nowMs);
        state.heartbeatTimeoutMs.delete(from);
    }
    return [
        ...sendCondition(member),
        ...compareDigests(state, from, heartbeat),
        ...updateListingFromHeartbeat(state, from, heartbeat, nowMs),
    ];
};

/** Sends a VM that is marked as suspected or gone its condition, so that it can refute it. */
const sendCondition = (member: Member): MembershipAction[] =>
    member.condition === 0 ? [] : [{ kind: MembershipActionKind.SendMembers, vm: member.vm, members: [member] }];

const digestDomains = (state: MembershipState): readonly DomainDigest[] => {
    state.digests ??= computeDigests(state);
    return state.digests;
};

const computeDigests = (state: MembershipState): DomainDigest[] => {
    const domains = new Map<string, Member[]>();
    for (const member of [state.self, ...state.members.values()]) {
        const known = domains.get(member.failureDomain);
        if (known === undefined) {
            domains.set(member.failureDomain, [member]);
        }
        else {
            known.push(member);
        }
    }
    return [...domains].map(([failureDomain, members]) => ({ failureDomain, membersHash: hashMembers(members) }));
};

/** Requests the members of failure domains whose digest differs in two heartbeats in a row; a single difference may be a change in transit. */
const compareDigests = (state: MembershipState, from: string, heartbeat: Heartbeat): MembershipAction[] => {
    const own = new Map(digestDomains(state).map(({ failureDomain, membersHash }) => [failureDomain, membersHash]));
    return heartbeat.digests.flatMap(({ failureDomain, membersHash }): MembershipAction[] => {
        const key = `${from} ${failureDomain}`;
        if ((own.get(failureDomain) ?? 0) === membersHash) {
            state.digestMismatches.delete(key);
            return [];
        }
        if (!state.digestMismatches.delete(key)) {
            state.digestMismatches.add(key);
            return [];
        }
        return [{ kind: MembershipActionKind.RequestMembers, vm: from, failureDomain }];
    });
};
