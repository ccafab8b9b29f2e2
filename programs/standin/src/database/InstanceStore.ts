/** Change of a row. An undefined value deletes the row. */
export interface RowChange {
    readonly table: string;
    readonly key: string;
    readonly value: string | undefined;
}

/** Committed transaction in the log. */
export interface LogEntry {
    /** Position after the entry, in bytes. */
    readonly position: number;
    readonly timeline: number;
    /** Monotonic time of the commit at the primary. */
    readonly committedAtMs: number;
    readonly changes: readonly RowChange[];
}

const ENTRY_HEADER_SIZE_BYTES = 64;

/** Log of an instance and the tables that result from it. */
export class InstanceStore {
    readonly log: LogEntry[] = [];
    private readonly tables = new Map<string, Map<string, string>>();

    private constructor(private readonly startPosition: number) {}

    static create(startPosition: number): InstanceStore {
        return new InstanceStore(startPosition);
    }

    /** Position after the last applied entry. */
    get position(): number {
        return this.log.at(-1)?.position ?? this.startPosition;
    }

    read(table: string, key: string): string | undefined {
        return this.tables.get(table)?.get(key);
    }

    readAll(table: string): ReadonlyMap<string, string> {
        return this.tables.get(table) ?? new Map();
    }

    /** Appends a transaction to the log and applies it to the tables. */
    commit(changes: readonly RowChange[], timeline: number, nowMs: number): LogEntry {
        const sizeBytes = changes.reduce((sum, change) => sum + change.key.length + (change.value?.length ?? 0), ENTRY_HEADER_SIZE_BYTES);
        const entry = { position: this.position + sizeBytes, timeline, committedAtMs: nowMs, changes };
        this.apply(entry);
        return entry;
    }

    /** Appends an existing entry, such as one of the upstream, and applies it to the tables. */
    apply(entry: LogEntry): void {
        this.log.push(entry);
        for (const { table, key, value } of entry.changes) {
            const rows = this.tables.get(table) ?? new Map<string, string>();
            this.tables.set(table, rows);
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, value);
            }
        }
    }

    /** Whether this log is a prefix of the other one. */
    isPrefixOf(other: InstanceStore): boolean {
        const last = this.log.at(-1);
        if (last === undefined) {
            return true;
        }
        const counterpart = other.log[this.log.length - 1];
        return counterpart?.position === last.position && counterpart.timeline === last.timeline;
    }
}
