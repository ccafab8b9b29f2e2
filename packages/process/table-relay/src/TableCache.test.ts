import type { StorePoint, StoreRow } from "@pomeloturn/types/StoreRow";
import { array, assert, boolean, constantFrom, integer, property, record } from "fast-check";
import { describe, expect, it } from "vitest";
import { TableCache } from "./TableCache.ts";

const STALE_AFTER_MS = 2_000;
/** Point in the era of these tests. */
const at = (version: number): StorePoint => ({ era: 1, version });

const row = (key: string, version: number, isDeleted = false): StoreRow => ({ key, value: `${version}`, version, isDeleted });

describe("table of a relay", () => {
    it("answers a table and its changes, oldest first", () => {
        const cache = new TableCache(STALE_AFTER_MS);
        cache.applyTable({ rows: [row("a", 3), row("b", 5)], era: 1, version: 6 }, 0);
        cache.applyChanges({ rows: [row("c", 8), row("a", 9)], era: 1, version: 9 }, 10);
        expect(cache.readChanges(at(6), 20)).toEqual({ kind: "rows", answer: { rows: [row("c", 8), row("a", 9)], era: 1, version: 9 } });
        expect(cache.readChanges(at(9), 20)).toEqual({ kind: "unchanged", era: 1, version: 9 });
    });

    it("never answers an older version to a VM that knows a newer one", () => {
        const cache = new TableCache(STALE_AFTER_MS);
        cache.applyTable({ rows: [row("a", 3)], era: 1, version: 6 }, 0);
        expect(cache.readChanges(at(40), 20)).toEqual({ kind: "unchanged", era: 1, version: 40 });
    });

    it("answers nothing that is not proved recent", () => {
        const cache = new TableCache(STALE_AFTER_MS);
        expect(cache.readTable(0)).toEqual({ kind: "stale" });
        cache.applyTable({ rows: [], era: 1, version: 6 }, 0);
        expect([cache.readTable(1_999).kind, cache.readTable(2_000).kind, cache.readChanges(at(6), 2_000).kind]).toEqual([
            "rows",
            "stale",
            "stale",
        ]);
        cache.applyChanges({ rows: [], era: 1, version: 6 }, 3_000);
        expect(cache.readChanges(at(6), 4_999).kind).toBe("unchanged");
        cache.invalidate();
        expect(cache.readChanges(at(6), 3_001).kind).toBe("stale");
    });

    it("asks for a read of the whole table when deletions may have been missed", () => {
        const cache = new TableCache(STALE_AFTER_MS);
        cache.applyTable({ rows: [row("a", 3)], era: 1, version: 6 }, 0);
        expect(cache.readChanges(at(5), 1).kind).toBe("gone");
    });

    it("answers no changes to a VM that knows another era of the store", () => {
        const cache = new TableCache(STALE_AFTER_MS);
        cache.applyTable({ rows: [row("a", 3)], era: 2, version: 6 }, 0);
        expect(cache.readChanges({ era: 1, version: 40 }, 1).kind).toBe("gone");
        expect(cache.readChanges({ era: 3, version: 6 }, 1).kind).toBe("stale");
    });

    it("brings a VM that follows it at any pace to the same rows as the store", () => {
        const change = record({ key: constantFrom("a", "b", "c", "d"), isDeleted: boolean(), polls: integer({ min: 0, max: 2 }) });
        assert(
            property(array(change, { maxLength: 60 }), changes => {
                const cache = new TableCache(Infinity);
                cache.applyTable({ rows: [], era: 1, version: 1 }, 0);
                const [store, follower] = [new Map<string, number>(), new Map<string, number>()];
                let known = 1;
                const poll = (): void => {
                    const answer = cache.readChanges(at(known), 0);
                    if (answer.kind === "rows") {
                        answer.answer.rows.forEach(({ key, version, isDeleted }) =>
                            isDeleted ? follower.delete(key) : follower.set(key, version)
                        );
                        known = answer.answer.version;
                    }
                };
                changes.forEach(({ key, isDeleted, polls }, index) => {
                    const version = index + 2;
                    if (isDeleted) {
                        store.delete(key);
                    }
                    else {
                        store.set(key, version);
                    }
                    cache.applyChanges({ rows: [row(key, version, isDeleted)], era: 1, version }, 0);
                    Array.from({ length: polls }, poll);
                });
                poll();
                expect(new Map([...follower].sort())).toEqual(new Map([...store].sort()));
            }),
            { seed: 20261204 },
        );
    });
});
