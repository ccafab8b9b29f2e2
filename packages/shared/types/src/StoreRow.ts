/** A row of a table in the platform's store. */
export interface StoreRow {
    readonly key: string;
    /** Row value, encoded in base64. */
    readonly value: string;
    /** Version of the store at which the row was last written. */
    readonly version: number;
    readonly isDeleted: boolean;
}

/**
 * A point in the store's history. A store that was restored from an older copy is in its next era and gives out the versions
 * after the copy again, so versions of different eras cannot be compared.
 */
export interface StorePoint {
    /** Number of the era; 0 for a store that does not state it. */
    readonly era: number;
    readonly version: number;
}

/** Result of a table read: the rows and the point at which they were read. */
export interface RowsAnswer extends StorePoint {
    readonly rows: readonly StoreRow[];
}

/** Reads tables of the store. Both calls reject with a PomeloturnError of code `StoreUnavailable` when the store does not answer. */
export interface TableReader {
    /** Reads all rows. `readChanges` from the returned version misses no change. */
    readTable(table: string): Promise<RowsAnswer>;
    /**
     * Waits up to `waitMs` milliseconds for changes after a point.
     *
     * @returns undefined when the store does not know the changes since that point
     */
    readChanges(table: string, after: StorePoint, waitMs: number): Promise<RowsAnswer | undefined>;
}
