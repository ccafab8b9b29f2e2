import type { LeaseEntry, LinkRow } from "./LinkLease.ts";

/**
 * Merges a row of a table service that was restored from an older copy with the row that this VM last knew, so that bytes of the
 * month and leases which the copy lacks still count.
 */
export const mergeRestoredRow = (known: LinkRow, row: LinkRow): LinkRow => {
    const newest = row.month > known.month ? row : known;
    const isSameMonth = row.month === known.month;
    return {
        month: newest.month,
        monthLeasedBytes: isSameMonth ? Math.max(row.monthLeasedBytes, known.monthLeasedBytes) : newest.monthLeasedBytes,
        leases: mergeLeases(known.leases, row.leases),
    };
};

const mergeLeases = (known: LinkRow["leases"], stored: LinkRow["leases"]): Record<string, LeaseEntry> => {
    const merged: Record<string, LeaseEntry> = { ...known };
    for (const [id, lease] of Object.entries(stored)) {
        const other = merged[id];
        merged[id] = other === undefined || lease.sequence >= other.sequence ? lease : other;
    }
    return merged;
};
