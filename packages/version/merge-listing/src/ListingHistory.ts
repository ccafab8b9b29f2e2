import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** What the store shows of an instance, while this VM uses something newer. */
export interface UnsettledEntry {
    /** Undefined if the store does not list the instance. */
    readonly listed: InstanceEntry | undefined;
    /** Monotonic time in milliseconds from which the store is believed. */
    readonly dueAtMs: number;
}

/** What a VM remembers of the listing of instances, to recognize entries that a restored store has taken from an older copy. */
export interface ListingHistory {
    /** Last entries of instances that were removed, by id, the latest last. */
    readonly removed: Map<string, InstanceEntry>;
    /** Instances for which a restored store is not believed yet, by id. */
    readonly unsettled: Map<string, UnsettledEntry>;
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
