import type { RowsAnswer, StorePoint, StoreRow } from "@pomeloturn/types/StoreRow";

/** Answer of a relay to a request for the changes of a table. */
export type CacheAnswer =
    | { readonly kind: "rows"; readonly answer: RowsAnswer; }
    /** Nothing has changed since the version asked for. */
    | ({ readonly kind: "unchanged"; } & StorePoint)
    /** The changes since the point asked for are not known. */
    | { readonly kind: "gone"; }
    /** It is not proved that the table is recent. */
    | { readonly kind: "stale"; };

/** Deleted rows that are kept, so that VMs that lag behind learn of the deletions. */
const MAXIMUM_DELETED_ROWS = 2_000;

/** A table of the store as this VM has read it from the store itself. */
export class TableCache {
    private readonly rows = new Map<string, StoreRow>();
    private readonly deleted = new Map<string, StoreRow>();
    private era = 0;
    private version = 0;
    /** Version from which on all changes are known. */
    private completeFrom = Infinity;
    private verifiedAtMs = -Infinity;

    /** @param staleAfterMs time after the store's last answer from which on the table is not proved recent, in milliseconds */
    constructor(private readonly staleAfterMs: number) {}

    /** Takes over a full read of the table, made at the store. @param nowMs monotonic time at which the store was asked, in milliseconds */
    applyTable({ rows, era, version }: RowsAnswer, nowMs: number): void {
        this.rows.clear();
        this.deleted.clear();
        rows.forEach(row => this.rows.set(row.key, row));
        this.era = era;
        this.version = version;
        this.completeFrom = version;
        this.verifiedAtMs = nowMs;
    }

    /** Takes over changes that the store has answered, of the same era as the table. @param nowMs monotonic time at which the store answered, in milliseconds */
    applyChanges({ rows, version }: RowsAnswer, nowMs: number): void {
        for (const row of rows) {
            const [into, from] = row.isDeleted ? [this.deleted, this.rows] : [this.rows, this.deleted];
            from.delete(row.key);
            into.delete(row.key);
            into.set(row.key, row);
        }
        this.dropOldDeletions();
        this.version = Math.max(this.version, version);
        this.verifiedAtMs = nowMs;
    }

    /** Declares the table not recent, as after a suspension of this VM, whose clock does not count that time. */
    invalidate(): void {
        this.verifiedAtMs = -Infinity;
    }

    /** Point up to which all changes are known. */
    get knownPoint(): StorePoint {
        return { era: this.era, version: this.version };
    }

    /** Milliseconds until the table is no longer proved recent, if the store does not answer before; 0 or less when it is not. */
    recentForMs(nowMs: number): number {
        return this.verifiedAtMs + this.staleAfterMs - nowMs;
    }

    /** Returns all rows. */
    readTable(nowMs: number): CacheAnswer {
        return this.recentForMs(nowMs) > 0
            ? { kind: "rows", answer: { rows: [...this.rows.values()], era: this.era, version: this.version } }
            : { kind: "stale" };
    }

    /** Returns the changes since a point, oldest first. */
    readChanges({ era, version: after }: StorePoint, nowMs: number): CacheAnswer {
        if (this.recentForMs(nowMs) <= 0 || era > this.era) {
            return { kind: "stale" };
        }
        if (era < this.era || after < this.completeFrom) {
            return { kind: "gone" };
        }
        const rows = [...this.rows.values(), ...this.deleted.values()].filter(({ version }) => version > after);
        return rows.length === 0
            ? { kind: "unchanged", era: this.era, version: Math.max(after, this.version) }
            : {
                kind: "rows",
                answer: { rows: rows.sort((one, other) => one.version - other.version), era: this.era, version: this.version },
            };
    }

    private dropOldDeletions(): void {
        for (const [key, { version }] of this.deleted) {
            if (this.deleted.size <= MAXIMUM_DELETED_ROWS) {
                return;
            }
            this.deleted.delete(key);
            this.completeFrom = Math.max(this.completeFrom, version);
        }
    }
}
