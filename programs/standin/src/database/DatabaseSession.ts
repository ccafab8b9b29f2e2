import type { DatabaseInstance } from "./DatabaseInstance.ts";
import type { RowChange } from "./InstanceStore.ts";

const LOCK_TIMEOUT_MS = 10_000;
const LOCK_POLL_INTERVAL_MS = 2;

/** An error of the database with its SQLSTATE. */
export class DatabaseError extends Error {
    private constructor(readonly sqlState: string, message: string) {
        super(message);
    }

    static create(sqlState: string, message: string): DatabaseError {
        return new DatabaseError(sqlState, message);
    }
}

/** One connection's transaction. */
export class DatabaseSession {
    private changes: RowChange[] = [];
    private locked: string[] = [];
    isInTransaction = false;
    isFailed = false;

    private constructor(readonly instance: DatabaseInstance, private readonly nowMs: () => number) {}

    static create(instance: DatabaseInstance, nowMs: () => number): DatabaseSession {
        return new DatabaseSession(instance, nowMs);
    }

    read(table: string, key: string): string | undefined {
        const own = this.changes.findLast(change => change.table === table && change.key === key);
        return own === undefined ? this.instance.store.read(table, key) : own.value;
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

    /** Waits until no other transaction holds the row. */
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
            this.locked.push(name);
        }
    }

    change(change: RowChange): void {
        if (this.instance.isReplica) {
            throw DatabaseError.create("25006", "cannot execute a write in a read-only transaction");
        }
        this.changes.push(change);
    }

    begin(): void {
        this.isInTransaction = true;
    }

    /** Commits what was changed; @returns false when the transaction had failed and was rolled back */
    commit(): boolean {
        const isCommitted = !this.isFailed;
        if (isCommitted) {
            this.instance.commit(this.changes, this.nowMs());
        }
        this.rollback();
        return isCommitted;
    }

    rollback(): void {
        for (const name of this.locked) {
            this.instance.locks.delete(name);
        }
        this.locked = [];
        this.changes = [];
        this.isInTransaction = false;
        this.isFailed = false;
    }

    /** Status byte of ReadyForQuery. */
    get status(): string {
        if (this.isFailed) {
            return "E";
        }
        return this.isInTransaction ? "T" : "I";
    }
}
