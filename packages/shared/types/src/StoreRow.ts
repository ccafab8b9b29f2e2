/** A row of a table in the platform's store. */
export interface StoreRow {
    readonly key: string;
    /** Row value, encoded in base64. */
    readonly value: string;
    /** Version of the store at which the row was last written. */
    readonly version: number;
    readonly isDeleted: boolean;
}

/** Result of a table read: the rows and the store version at which they were read. */
export interface RowsAnswer {
    readonly rows: readonly StoreRow[];
    readonly version: number;
}

/** Reads tables of the store. Both calls reject with a PomeloturnError of code `StoreUnavailable` when the store does not answer. */
export interface TableReader {
    /** Reads all rows. `readChanges` from the returned version misses no change. */
    readTable(table: string): Promise<RowsAnswer>;
    /**
     * Waits up to `waitMs` milliseconds for changes after a store version.
     *
     * @returns undefined when the store no longer keeps the changes since that version
     */
    readChanges(table: string, after: number, waitMs: number): Promise<RowsAnswer | undefined>;
}
