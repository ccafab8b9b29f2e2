/** One change of a keyed table; an undefined value deletes the row. */
export interface RowChange {
    readonly table: string;
    readonly key: string;
    readonly value: string | undefined;
}

/** A committed transaction in the log. */
export interface LogEntry {
    /** Position after the entry, in bytes. */
    readonly position: number;
    readonly timeline: number;
    readonly committedAtMs: number;
    readonly changes: readonly RowChange[];
}

const ENTRY_HEADER_SIZE_BYTES = 64;

/** The log of one instance and the tables that it has applied. */
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

    /** Appends a transaction at the end of the log. */
    commit(changes: readonly RowChange[], timeline: number, nowMs: number): LogEntry {
        const sizeBytes = changes.reduce((sum, change) => sum + change.key.length + (change.value?.length ?? 0), ENTRY_HEADER_SIZE_BYTES);
        const entry = { position: this.position + sizeBytes, timeline, committedAtMs: nowMs, changes };
        this.apply(entry);
        return entry;
    }

    /** Applies an entry of the upstream's log. */
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

    /** Whether this log is the beginning of the other's. */
    isPrefixOf(other: InstanceStore): boolean {
        const last = this.log.at(-1);
        if (last === undefined) {
            return true;
        }
        const twin = other.log[this.log.length - 1];
        return twin?.position === last.position && twin.timeline === last.timeline;
    }
}
