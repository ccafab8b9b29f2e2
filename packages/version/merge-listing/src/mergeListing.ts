import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { hasSameContent } from "./hasSameContent.ts";
import { isOlderReport } from "./isOlderReport.ts";
import type { ListingHistory } from "./ListingHistory.ts";

/** Time after the return of the store in which live instances that it does not list are listed again. */
const MISSING_GRACE_MS = 2_500;

/** Reports that an instance misses before the store drops its entry. */
const MISSED_REPORT_LIMIT = 3;
const REPORT_DELAY_MS = 1_000;

/** Returns the entry to use of the one in use, the listed one and the last one before a removal. */
const chooseEntry = (
    known: InstanceEntry | undefined,
    listed: InstanceEntry | undefined,
    last: InstanceEntry | undefined,
): InstanceEntry | undefined => {
    if (known === undefined) {
        return listed !== undefined && (last === undefined || isOlderReport(last, listed)) ? listed : undefined;
    }
    // The point at which the known entry was written still orders it among the claims to be the primary.
    const isNews = listed !== undefined && !isOlderReport(listed, known) && !hasSameContent(listed, known);
    return isNews ? listed : known;
};

/** How the listing of a restored store is merged. */
export interface MergeOptions {
    /** Whether this is the first listing since the store was restored. */
    readonly isFirst: boolean;
    /** Time between two reports of an instance, in milliseconds. */
    readonly reportIntervalMs: number;
}

/**
 * Merges the listing of a store that was restored from an older copy with what this VM knows. Until the instances have
 * reported again, the listing can show a draining instance as ready and one that has left as present, and can lack one that
 * is in use. Records in `history` until when the store is not believed about these.
 *
 * @param known entries of the instances in use, by id
 * @param nowMs monotonic time in milliseconds
 * @returns the entries to use
 */
export const mergeListing = (
    history: ListingHistory,
    known: ReadonlyMap<string, InstanceEntry>,
    listing: readonly InstanceEntry[],
    { isFirst, reportIntervalMs }: MergeOptions,
    nowMs: number,
): InstanceEntry[] => {
    const { removed, unsettled } = history;
    const listedById = new Map(listing.map(entry => [entry.id, entry]));
    const used: InstanceEntry[] = [];
    const earlier = new Map(isFirst ? [] : unsettled);
    unsettled.clear();
    for (const id of new Set([...known.keys(), ...listedById.keys()])) {
        const listed = listedById.get(id);
        const entry = chooseEntry(known.get(id), listed, removed.get(id));
        if (listed === undefined || entry === undefined || !hasSameContent(listed, entry)) {
            const graceMs = listed === undefined ? MISSING_GRACE_MS : MISSED_REPORT_LIMIT * reportIntervalMs + REPORT_DELAY_MS;
            unsettled.set(id, earlier.get(id) ?? nowMs + graceMs);
        }
        if (entry !== undefined) {
            used.push(entry);
        }
    }
    return used;
};
