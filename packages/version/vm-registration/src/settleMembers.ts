import { type MemberListing, recordDeleted, recordRegistered, type Registration } from "./MemberListing.ts";

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
