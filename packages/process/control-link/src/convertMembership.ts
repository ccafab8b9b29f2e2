import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { Condition, Member } from "@pomeloturn/membership/Member";
import type { Heartbeat, ListingChange } from "@pomeloturn/membership/membershipMessages";
import type { ListedVm } from "@pomeloturn/types/Platform";

/** Converts a control message to a member. Absent fields get their protobuf default values. */
export const toMember = (message: pomeloturn.control.IMember): Member => ({
    vm: message.vm ?? "",
    incarnation: message.incarnation ?? 0,
    sequence: message.sequence ?? 0,
    condition: (message.condition ?? 0) as Condition,
    isLeaving: message.isLeaving ?? false,
    host: message.host ?? "",
    peerPort: message.peerPort ?? 0,
    controllerPort: message.controllerPort ?? 0,
    failureDomain: message.failureDomain ?? "",
});

export const toHeartbeat = (message: pomeloturn.control.IHeartbeat): Heartbeat => ({
    incarnation: message.incarnation ?? 0,
    sequence: message.sequence ?? 0,
    digests: (message.digests ?? []).map(({ failureDomain, membersHash }) => ({
        failureDomain: failureDomain ?? "",
        membersHash: membersHash ?? 0,
    })),
    listingHash: message.listingHash ?? 0,
    listingAgeMs: message.listingAgeMs ?? undefined,
});

export const toListingChange = (message: pomeloturn.control.IVmListing): ListingChange => ({
    listed: (message.listed ?? []).map(toListedVm),
    removed: message.removed ?? [],
    isComplete: message.isComplete ?? false,
    ageMs: message.ageMs ?? 0,
});

const toListedVm = (message: pomeloturn.control.IListedVm): ListedVm => ({
    name: message.name ?? "",
    host: message.host ?? "",
    failureDomain: message.failureDomain ?? "",
    isLeaving: message.isLeaving ?? false,
});
