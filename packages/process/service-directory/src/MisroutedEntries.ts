import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { isSameInstance } from "./isSameInstance.ts";

const FIRST_CHECK_DELAY_MS = 500;
const LONGEST_CHECK_DELAY_MS = 8_000;

interface MisroutedEntry {
    readonly entry: InstanceEntry;
    /** Delay between the last check and the next one. Doubles with each check. */
    readonly delayMs: number;
    /** Monotonic time in milliseconds. */
    checkAtMs: number;
}

/** Entries at whose address another instance answers, by id. */
export type MisroutedEntries = Map<string, MisroutedEntry>;

export const createMisroutedEntries = (): MisroutedEntries => new Map();

/** Whether another instance has answered at the address of this entry. False for an entry that names another address or start. */
export const isMisrouted = (entries: MisroutedEntries, entry: InstanceEntry): boolean => {
    const known = entries.get(entry.id);
    return known !== undefined && isSameInstance(known.entry, entry);
};

/** @param nowMs monotonic time in milliseconds */
export const recordMisrouted = (entries: MisroutedEntries, entry: InstanceEntry, nowMs: number): void => {
    const known = isMisrouted(entries, entry) ? entries.get(entry.id) : undefined;
    const delayMs = known === undefined ? FIRST_CHECK_DELAY_MS : Math.min(LONGEST_CHECK_DELAY_MS, known.delayMs * 2);
    entries.set(entry.id, { entry, delayMs, checkAtMs: nowMs + delayMs });
};

/** Returns the entries whose address has to be checked again, and postpones their next check. @param nowMs monotonic time in milliseconds */
export const takeDueChecks = (entries: MisroutedEntries, nowMs: number): InstanceEntry[] => {
    const due = [...entries.values()].filter(({ checkAtMs }) => nowMs >= checkAtMs);
    due.forEach(each => {
        each.checkAtMs = nowMs + each.delayMs;
    });
    return due.map(({ entry }) => entry);
};
