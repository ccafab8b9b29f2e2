/** Interfaces of the platform's services. Answers may be lost after the change took effect. */

/** A row of the table service. */
export interface TableRow {
    readonly key: string;
    /** Increases with each change of the row; 0 when the row does not exist. */
    readonly version: number;
    readonly value: string;
}

/** One row change of a transaction, applied only when the row still has `expectedVersion`. */
export interface TableWrite {
    readonly key: string;
    readonly expectedVersion: number;
    readonly value: string;
}

/** Outcome of a table transaction. */
export interface TableResult {
    readonly isApplied: boolean;
    /** The rows as they stand after the transaction, or as they stood when it was refused. */
    readonly rows: readonly TableRow[];
}

/** Transactional table with compare-and-set. */
export interface TableService {
    read(keys: readonly string[]): Promise<readonly TableRow[]>;
    /** Applies all writes or none. Repeating an operation id returns the first outcome. */
    transact(operationId: string, writes: readonly TableWrite[]): Promise<TableResult>;
}

/** Immutable blobs by name. */
export interface ObjectStore {
    put(name: string, body: string): Promise<void>;
    /** @returns undefined when there is no such object */
    get(name: string): Promise<string | undefined>;
}

/** A VM as the platform's list states it, with a lag of seconds. */
export interface ListedVm {
    readonly name: string;
    readonly host: string;
    readonly failureDomain: string;
    readonly isLeaving: boolean;
}

/** The platform's lagging list of VMs. */
export interface VmList {
    list(): Promise<readonly ListedVm[]>;
}
