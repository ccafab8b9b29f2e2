/** A VM's part of a link's approved rate and amount, as the link's row in the table service states it. */

/** A lease in the row. */
export interface LeaseEntry {
    readonly bytesPerSecond: number;
    /** Rate that the VM asks for. */
    readonly wantedBytesPerSecond: number;
    /** Increases with each renewal. */
    readonly sequence: number;
    readonly ttlMs: number;
}

/** Value of a link's row. */
export interface LinkRow {
    /** Months since the year 0, in UTC. It never decreases. */
    readonly month: number;
    /** Bytes of the month that have been leased. */
    readonly monthLeasedBytes: number;
    /** By the id of a process. */
    readonly leases: Readonly<Record<string, LeaseEntry>>;
}

/** A change of the row whose outcome is not known yet. */
export interface PendingLease {
    readonly operationId: string;
    readonly expectedVersion: number;
    readonly row: LinkRow;
    /** Monotonic time at which the change was first sent, in milliseconds; the lease counts from it. */
    readonly sentAtMs: number;
    readonly drawnBytes: number;
}

/** The lease of one process. */
export interface LinkLease {
    readonly id: string;
    bytesPerSecond: number;
    wantedBytesPerSecond: number;
    sequence: number;
    expiresAtMs: number;
    renewAtMs: number;
    plannedAtMs: number;
    month: number;
    /** Bytes of the month that were leased and not sent. */
    monthLeftBytes: number;
    pending: PendingLease | undefined;
    /** When each other lease was first seen with its sequence, on this VM's clock. */
    readonly observed: Map<string, { sequence: number; firstSeenAtMs: number; }>;
    nextOperation: number;
}

export const createLease = (id: string): LinkLease => ({
    id,
    bytesPerSecond: 0,
    wantedBytesPerSecond: 0,
    sequence: 0,
    expiresAtMs: -Infinity,
    renewAtMs: -Infinity,
    plannedAtMs: -Infinity,
    month: 0,
    monthLeftBytes: 0,
    pending: undefined,
    observed: new Map(),
    nextOperation: 1,
});

export const isLeaseValid = (lease: LinkLease, nowMs: number): boolean => nowMs < lease.expiresAtMs;

export const EMPTY_LINK_ROW: LinkRow = { month: 0, monthLeasedBytes: 0, leases: {} };
