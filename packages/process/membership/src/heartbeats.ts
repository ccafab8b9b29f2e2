import { hashMembers } from "./hashMembers.ts";
import { adoptListingAge } from "./listing.ts";
import type { Member } from "./Member.ts";
import { type DomainDigest, type Heartbeat, type MembershipAction, MembershipActionKind } from "./membershipMessages.ts";
import type { MembershipState } from "./MembershipState.ts";

/** The heartbeat that goes to all outgoing neighbors. */
export const buildHeartbeat = (state: MembershipState, nowMs: number): Heartbeat => ({
    incarnation: state.self.incarnation,
    sequence: state.self.sequence,
    digests: digestDomains(state),
    listingHash: state.listing?.hash ?? 0,
    listingAgeMs: state.listing === undefined ? undefined : Math.round(nowMs - state.listing.listedAtMs),
});

/** Notes that the sender is alive and asks it for what the digests show to be different. */
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
        state.heardAtMs.set(from, nowMs);
        state.patienceMs.delete(from);
    }
    return [...tellCondition(member), ...compareDigests(state, from, heartbeat), ...adoptListingAge(state, from, heartbeat, nowMs)];
};

/** A VM that is believed to be suspected or gone is told, so that it can refute. */
const tellCondition = (member: Member): MembershipAction[] =>
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

/** A difference that lasts for two heartbeats is not just a change on its way. */
const compareDigests = (state: MembershipState, from: string, heartbeat: Heartbeat): MembershipAction[] => {
    const own = new Map(digestDomains(state).map(({ failureDomain, membersHash }) => [failureDomain, membersHash]));
    return heartbeat.digests.flatMap(({ failureDomain, membersHash }): MembershipAction[] => {
        const key = `${from} ${failureDomain}`;
        if ((own.get(failureDomain) ?? 0) === membersHash) {
            state.mismatches.delete(key);
            return [];
        }
        if (!state.mismatches.delete(key)) {
            state.mismatches.add(key);
            return [];
        }
        return [{ kind: MembershipActionKind.RequestMembers, vm: from, failureDomain }];
    });
};
