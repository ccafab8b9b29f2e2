/** A row of a table in the store of the outside system. */
export interface StoreRow {
    readonly key: string;
    /** Base64. */
    readonly value: string;
    /** Version of the store at which the row was last written. */
    readonly version: number;
    readonly isDeleted: boolean;
}

/** Rows and the version of the store at which they were read. */
export interface RowsAnswer {
    readonly rows: readonly StoreRow[];
    readonly version: number;
}

/** Reads tables of the store. Both calls may throw PomeloturnError with `StoreUnavailable`. */
export interface TableReader {
    /** Reads all rows. A feed from the version of the answer misses no change. */
    readTable(table: string): Promise<RowsAnswer>;
    /** Waits for changes after a version. @returns undefined when the history since then is not kept any more */
    readChanges(table: string, after: number, waitMs: number): Promise<RowsAnswer | undefined>;
}
