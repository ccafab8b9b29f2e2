import { type MemberListing, recordDeleted, recordRegistered, type Registration } from "./MemberListing.ts";

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
