import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { expect, it } from "vitest";
import { createListingHistory, type ListingHistory, recordListed, recordRemoved } from "./ListingHistory.ts";
import { mergeListing } from "./mergeListing.ts";
import { isSettlingDue, settleListing } from "./settleListing.ts";

const REPORT_INTERVAL_MS = 1_000;
const MISSING_GRACE_MS = 2_500;
const OUTDATED_GRACE_MS = 4_000;

const create = (startedAtMs: number | undefined, reportNumber: number | undefined, isDraining = false): InstanceEntry => ({
    id: "a",
    service: "ledger",
    host: "10.0.0.1",
    port: 80,
    failureDomain: "north-a",
    slots: 2,
    isDraining,
    isPrimary: false,
    startedAtMs,
    reportNumber,
    writtenAt: { era: 1, version: 9 },
});

const READY = create(1_000, 4);
const DRAINING = create(1_000, 9, true);
const RESTARTED = create(2_000, 1);

const toListing = (listed: InstanceEntry | undefined): InstanceEntry[] => listed === undefined ? [] : [listed];

interface Merge {
    readonly history: ListingHistory;
    readonly used: readonly InstanceEntry[];
}

/** Merges the first listing after a restore. */
const merge = (known: InstanceEntry | undefined, removed: InstanceEntry | undefined, listed: InstanceEntry | undefined): Merge => {
    const history = createListingHistory();
    if (removed !== undefined) {
        recordRemoved(history, removed);
    }
    return { history, used: mergeAgain(history, known, listed, true, 0) };
};

const mergeAgain = (
    history: ListingHistory,
    known: InstanceEntry | undefined,
    listed: InstanceEntry | undefined,
    isFirst: boolean,
    nowMs: number,
): InstanceEntry[] => {
    const knownById = new Map(toListing(known).map(entry => [entry.id, entry]));
    return mergeListing(history, knownById, toListing(listed), { isFirst, reportIntervalMs: REPORT_INTERVAL_MS }, nowMs);
};

const OLD_LISTINGS = [
    ["a draining instance as ready", DRAINING, undefined, READY, OUTDATED_GRACE_MS],
    ["a draining instance as ready, without its start", create(undefined, 9, true), undefined, create(undefined, 4), OUTDATED_GRACE_MS],
    ["a restarted instance as before its restart", RESTARTED, undefined, READY, OUTDATED_GRACE_MS],
    ["an instance that has left", undefined, DRAINING, READY, OUTDATED_GRACE_MS],
    ["an instance that has left, with its last report", undefined, READY, READY, OUTDATED_GRACE_MS],
    ["no entry of an instance in use", READY, undefined, undefined, MISSING_GRACE_MS],
] as const;

it.each(OLD_LISTINGS)("does not believe a restored listing that shows %s", (_what, known, removed, listed) => {
    expect(merge(known, removed, listed).used).toEqual(known === undefined ? [] : [known]);
});

it.each(OLD_LISTINGS)("does not doubt for good a listing that shows %s", (_what, known, removed, listed, graceMs) => {
    const { history } = merge(known, removed, listed);
    expect(isSettlingDue(history, graceMs - 1)).toBe(false);
    expect(settleListing(history, toListing(listed), graceMs - 1).size).toBe(0);
    expect(isSettlingDue(history, graceMs)).toBe(true);
    expect([...settleListing(history, toListing(listed), graceMs)]).toEqual([["a", listed]]);
    expect(isSettlingDue(history, graceMs)).toBe(false);
});

it.each([
    ["a newer report", READY, undefined, DRAINING],
    ["a report after a restart", DRAINING, undefined, RESTARTED],
    ["an instance that is new to this VM", undefined, undefined, READY],
    ["an instance that has come back after it had left", undefined, READY, RESTARTED],
    ["a report whose order is not known", DRAINING, undefined, create(undefined, undefined)],
])("does not ignore a restored listing that shows %s", (_what, known, removed, listed) => {
    const { history, used } = merge(known, removed, listed);
    expect(used).toEqual([listed]);
    expect(history.unsettled.size).toBe(0);
});

it("does not take the claim of a crashed primary in the copy for a new one", () => {
    const claim = { ...READY, isPrimary: true };
    const { history, used } = merge(claim, undefined, { ...claim, reportNumber: 5, writtenAt: { era: 2, version: 3 } });
    expect(used).toEqual([claim]);
    expect(history.unsettled.size).toBe(0);
});

it.each([
    ["begin the time anew when the listing is read again", false, true],
    ["shorten the time after a further restore", true, false],
])("does not %s", (_what, isFirst, isDue) => {
    const { history } = merge(DRAINING, undefined, READY);
    mergeAgain(history, DRAINING, READY, isFirst, OUTDATED_GRACE_MS - 1);
    expect(isSettlingDue(history, OUTDATED_GRACE_MS)).toBe(isDue);
});

it.each([
    ["written again", (history: ListingHistory) => recordListed(history, "a")],
    ["removed", (history: ListingHistory) => recordRemoved(history, DRAINING)],
])("does not bring back an old entry that has been %s meanwhile", (_what, change) => {
    const { history } = merge(DRAINING, undefined, READY);
    change(history);
    expect(settleListing(history, [READY], OUTDATED_GRACE_MS).size).toBe(0);
});
