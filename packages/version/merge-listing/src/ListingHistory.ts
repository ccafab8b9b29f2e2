import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** What a VM remembers of the listing of instances, to recognize entries that a restored store has taken from an older copy. */
export interface ListingHistory {
    /** Last entries of instances that were removed, by id, the latest last. */
    readonly removed: Map<string, InstanceEntry>;
    /** Monotonic time in milliseconds from which a restored store is believed about an instance, by id. */
    readonly unsettled: Map<string, number>;
}

/** Removed instances that are remembered. */
const MAXIMUM_REMOVED_ENTRIES = 1_000;

export const createListingHistory = (): ListingHistory => ({ removed: new Map(), unsettled: new Map() });

/** Records that an instance is listed with a new entry. */
export const recordListed = ({ removed, unsettled }: ListingHistory, id: string): void => {
    removed.delete(id);
    unsettled.delete(id);
};

/** Records that an instance is no longer listed. @param entry its last entry */
export const recordRemoved = ({ removed, unsettled }: ListingHistory, entry: InstanceEntry): void => {
    unsettled.delete(entry.id);
    removed.delete(entry.id);
    removed.set(entry.id, entry);
    if (removed.size > MAXIMUM_REMOVED_ENTRIES) {
        const [oldest] = removed.keys();
        removed.delete(oldest!);
    }
};
