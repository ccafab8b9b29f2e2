/** A registration as it stands in the store. */
export interface Registration {
    readonly vm: string;
    /** Version of the row in the store. */
    readonly version: number;
}

/** The registered VMs as one VM knows them. */
export interface MemberListing<Member extends Registration> {
    /** By VM, with those whose registration a restored store has lost. */
    readonly members: Map<string, Member>;
    /** Members that a restored store does not list, each with the monotonic time in milliseconds from which that is believed. */
    readonly unlisted: Map<string, number>;
    /** VMs whose registration was deleted, the latest last. */
    readonly departed: Set<string>;
    /** Registrations that a restored store shows again although they were deleted, by VM. */
    readonly lostDeletions: Map<string, Registration>;
}

/** Departed VMs that are remembered. */
const MAXIMUM_DEPARTED_VMS = 1_000;

export const createMemberListing = <Member extends Registration>(): MemberListing<Member> => ({
    members: new Map(),
    unlisted: new Map(),
    departed: new Set(),
    lostDeletions: new Map(),
});

/** Records that a VM has been registered. */
export const recordRegistered = <Member extends Registration>(listing: MemberListing<Member>, member: Member): void => {
    listing.unlisted.delete(member.vm);
    listing.departed.delete(member.vm);
    listing.lostDeletions.delete(member.vm);
    listing.members.set(member.vm, member);
};

/** Records that a VM's registration has been deleted. */
export const recordDeleted = <Member extends Registration>(listing: MemberListing<Member>, vm: string): void => {
    const { members, unlisted, departed, lostDeletions } = listing;
    lostDeletions.delete(vm);
    unlisted.delete(vm);
    members.delete(vm);
    departed.delete(vm);
    departed.add(vm);
    if (departed.size > MAXIMUM_DEPARTED_VMS) {
        const [oldest] = departed;
        departed.delete(oldest!);
    }
};
