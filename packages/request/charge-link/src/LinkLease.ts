/** Leases of a paid link: each gives one process a part of the approved rate and monthly amount. */

/** A lease, as stored in the link's row of the table service. */
export interface LeaseEntry {
    readonly bytesPerSecond: number;
    /** Rate that the VM requested. */
    readonly wantedBytesPerSecond: number;
    /** Incremented with each renewal. */
    readonly sequence: number;
    readonly ttlMs: number;
}

/** Value of a link's row in the table service. */
export interface LinkRow {
    /** Months since the year 0, in UTC. Never decreases. */
    readonly month: number;
    /** Bytes leased in this month, over all processes. */
    readonly monthLeasedBytes: number;
    /** Leases by process id. */
    readonly leases: Readonly<Record<string, LeaseEntry>>;
}

/** A link's row as it stands in the table service. */
export interface StoredLinkRow {
    readonly row: LinkRow;
    /** 0 when the row does not exist. */
    readonly version: number;
    /** Era of the table service; 0 if it states none. */
    readonly era: number;
}

/** A change of the link's row whose outcome is not known yet. */
export interface PendingRenewal {
    readonly operationId: string;
    readonly expectedVersion: number;
    readonly expectedEra: number;
    readonly row: LinkRow;
    /** Monotonic time at which the change was first sent, in milliseconds; the lease's time to live starts then. */
    readonly sentAtMs: number;
    /** Bytes of the month's amount that the change adds to the lease. */
    readonly addedBytes: number;
}

/** State of this process's lease. */
export interface LinkLease {
    readonly id: string;
    bytesPerSecond: number;
    wantedBytesPerSecond: number;
    sequence: number;
    expiresAtMs: number;
    renewAtMs: number;
    lastPlannedAtMs: number;
    month: number;
    /** Bytes of the month that are leased but not sent yet. */
    monthRemainingBytes: number;
    pendingRenewal: PendingRenewal | undefined;
    /** Newest row that this VM knows, and the era in which it was read or written. */
    known: { readonly row: LinkRow; readonly era: number; } | undefined;
    /** Monotonic time of this VM at which each lease was first seen with its present sequence, by process id. */
    readonly observed: Map<string, { sequence: number; firstSeenAtMs: number; }>;
    nextOperationNumber: number;
}

export const createLease = (id: string): LinkLease => ({
    id,
    bytesPerSecond: 0,
    wantedBytesPerSecond: 0,
    sequence: 0,
    expiresAtMs: -Infinity,
    renewAtMs: -Infinity,
    lastPlannedAtMs: -Infinity,
    month: 0,
    monthRemainingBytes: 0,
    pendingRenewal: undefined,
    known: undefined,
    observed: new Map(),
    nextOperationNumber: 1,
});

export const isLeaseValid = (lease: LinkLease, nowMs: number): boolean => nowMs < lease.expiresAtMs;

export const EMPTY_LINK_ROW: LinkRow = { month: 0, monthLeasedBytes: 0, leases: {} };
