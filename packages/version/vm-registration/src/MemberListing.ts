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

/** How a complete listing is taken over. */
export interface ReplaceOptions {
    /** Whether the store was restored from an older copy since the last listing. It may have lost registrations and deletions. */
    readonly isRestored: boolean;
    /** Monotonic time in milliseconds by which the VMs whose registrations were lost have written them again. */
    readonly settledAtMs: number;
}

/** Replaces the registrations with a complete listing. */
export const replaceMembers = <Member extends Registration>(
    listing: MemberListing<Member>,
    rows: readonly Member[],
    { isRestored, settledAtMs }: ReplaceOptions,
): void => {
    const { members, unlisted, departed } = listing;
    const listed = new Set(rows.map(({ vm }) => vm));
    for (const vm of [...members.keys()].filter(known => !listed.has(known))) {
        if (isRestored) {
            unlisted.set(vm, settledAtMs);
        }
        else if (!unlisted.has(vm)) {
            recordDeleted(listing, vm);
        }
    }
    const lostDeletions = new Map(listing.lostDeletions);
    listing.lostDeletions.clear();
    for (const member of rows) {
        const isDeletionLost = departed.has(member.vm) && (isRestored || lostDeletions.get(member.vm)?.version === member.version);
        if (isDeletionLost) {
            listing.lostDeletions.set(member.vm, member);
        }
        else {
            recordRegistered(listing, member);
        }
    }
};

/** Whether the store is to be believed now about some members that it does not list, so that it has to be read again. */
export const isMemberSettlingDue = ({ unlisted }: MemberListing<Registration>, nowMs: number): boolean =>
    [...unlisted.values()].some(dueAtMs => nowMs >= dueAtMs);

/**
 * Takes over what a restored store shows of members that were to write their registrations again by now.
 *
 * @param rows complete listing of the restored store
 * @param nowMs monotonic time in milliseconds at which the read of the listing began
 * @returns the names of the members that are not registered
 */
export const settleMembers = <Member extends Registration>(
    listing: MemberListing<Member>,
    rows: readonly Member[],
    nowMs: number,
): readonly string[] => {
    const due = new Set([...listing.unlisted].filter(([, dueAtMs]) => nowMs >= dueAtMs).map(([vm]) => vm));
    rows.filter(({ vm }) => due.delete(vm)).forEach(member => recordRegistered(listing, member));
    due.forEach(vm => recordDeleted(listing, vm));
    return [...due];
};
