/** Interfaces of the platform's services. An answer may be lost after the change has taken effect. */

/** A row of the table service. */
export interface TableRow {
    readonly key: string;
    /** Increases with each change of the row; 0 when the row does not exist. */
    readonly version: number;
    readonly value: string;
    /** Era of the table service when it answered; undefined if it states none. It rises when the service is restored from an older copy. */
    readonly era?: number | undefined;
}

/** Change of one row in a transaction, applied only if the row still has `expectedVersion`. */
export interface TableWrite {
    readonly key: string;
    readonly expectedVersion: number;
    /** Era in which the write may be applied; undefined for any. */
    readonly expectedEra?: number | undefined;
    readonly value: string;
}

/** Outcome of a transaction of the table service. */
export interface TableResult {
    readonly isApplied: boolean;
    /** The rows after the transaction, or as they were when it was refused. */
    readonly rows: readonly TableRow[];
}

/** Key-value table with transactional compare-and-set. */
export interface TableService {
    read(keys: readonly string[]): Promise<readonly TableRow[]>;
    /** Applies all writes or none. A repeated operation id returns the outcome of its first call. */
    transact(operationId: string, writes: readonly TableWrite[]): Promise<TableResult>;
}

/** Store of immutable blobs, addressed by name. */
export interface ObjectStore {
    put(name: string, body: string): Promise<void>;
    /** @returns undefined when there is no such object */
    get(name: string): Promise<string | undefined>;
}

/** An entry of the platform's list of VMs, which lags by seconds. */
export interface ListedVm {
    readonly name: string;
    readonly host: string;
    readonly failureDomain: string;
    readonly isLeaving: boolean;
}

/** The platform's list of VMs, which lags by seconds. */
export interface VmList {
    list(): Promise<readonly ListedVm[]>;
}
