import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import type { ListingHistory } from "./ListingHistory.ts";

/** Whether a restored store is to be believed now about some instances, so that its listing has to be read again. */
export const isSettlingDue = ({ unsettled }: ListingHistory, nowMs: number): boolean =>
    [...unsettled.values()].some(dueAtMs => nowMs >= dueAtMs);

/**
 * Takes the instances about which a restored store is believed from now on.
 *
 * @param listing complete listing, read when the time for new reports was over
 * @param nowMs monotonic time in milliseconds at which the read of the listing began
 * @returns their entries in the store by id; undefined for those that it does not list
 */
export const settleListing = (
    { unsettled }: ListingHistory,
    listing: readonly InstanceEntry[],
    nowMs: number,
): ReadonlyMap<string, InstanceEntry | undefined> => {
    const listedById = new Map(listing.map(entry => [entry.id, entry]));
    const dueIds = [...unsettled].filter(([, dueAtMs]) => nowMs >= dueAtMs).map(([id]) => id);
    dueIds.forEach(id => unsettled.delete(id));
    return new Map(dueIds.map(id => [id, listedById.get(id)]));
};
