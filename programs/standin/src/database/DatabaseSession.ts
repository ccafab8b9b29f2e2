import type { DatabaseInstance } from "./DatabaseInstance.ts";
import type { RowChange } from "./InstanceStore.ts";

const LOCK_TIMEOUT_MS = 10_000;
const LOCK_POLL_INTERVAL_MS = 2;

/** Error that a statement returns, with its SQLSTATE. */
export class DatabaseError extends Error {
    private constructor(readonly sqlState: string, message: string) {
        super(message);
    }

    static create(sqlState: string, message: string): DatabaseError {
        return new DatabaseError(sqlState, message);
    }
}

/** Transaction state of a connection. */
export class DatabaseSession {
    private changes: RowChange[] = [];
    private lockedRows: string[] = [];
    isInTransaction = false;
    hasFailed = false;

    private constructor(readonly instance: DatabaseInstance, private readonly nowMs: () => number) {}

    static create(instance: DatabaseInstance, nowMs: () => number): DatabaseSession {
        return new DatabaseSession(instance, nowMs);
    }

    /** Reads a row including the uncommitted changes of this session. */
    read(table: string, key: string): string | undefined {
        const uncommitted = this.changes.findLast(change => change.table === table && change.key === key);
        return uncommitted === undefined ? this.instance.store.read(table, key) : uncommitted.value;
    }

    readAll(table: string): Map<string, string> {
        const rows = new Map(this.instance.store.readAll(table));
        for (const change of this.changes.filter(each => each.table === table)) {
            if (change.value === undefined) {
                rows.delete(change.key);
            }
            else {
                rows.set(change.key, change.value);
            }
        }
        return rows;
    }

    /** Locks a row until the transaction ends. Waits while another session holds it. @throws DatabaseError after `LOCK_TIMEOUT_MS` */
    async lock(table: string, key: string): Promise<void> {
        const { locks } = this.instance;
        const name = `${table}\n${key}`;
        const startedAtMs = this.nowMs();
        while (locks.has(name) && locks.get(name) !== this) {
            if (this.nowMs() - startedAtMs > LOCK_TIMEOUT_MS) {
                throw DatabaseError.create("55P03", "could not obtain lock on row");
            }
            await new Promise(resolve => setTimeout(resolve, LOCK_POLL_INTERVAL_MS));
        }
        if (!locks.has(name)) {
            locks.set(name, this);
            this.lockedRows.push(name);
        }
    }

    /** Adds a change to the transaction. @throws DatabaseError on a replica */
    addChange(change: RowChange): void {
        if (this.instance.isReplica) {
            throw DatabaseError.create("25006", "cannot execute a write in a read-only transaction");
        }
        this.changes.push(change);
    }

    begin(): void {
        this.isInTransaction = true;
    }

    /** Commits the changes of the transaction. @returns false if it had failed and was rolled back instead */
    commit(): boolean {
        const isCommitted = !this.hasFailed;
        if (isCommitted) {
            this.instance.commit(this.changes, this.nowMs());
        }
        this.rollback();
        return isCommitted;
    }

    rollback(): void {
        for (const name of this.lockedRows) {
            this.instance.locks.delete(name);
        }
        this.lockedRows = [];
        this.changes = [];
        this.isInTransaction = false;
        this.hasFailed = false;
    }

    /** Transaction status of a ReadyForQuery message: I, T or E. */
    get status(): string {
        if (this.hasFailed) {
            return "E";
        }
        return this.isInTransaction ? "T" : "I";
    }
}
