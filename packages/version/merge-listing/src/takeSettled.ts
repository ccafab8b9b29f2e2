import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import type { ListingHistory } from "./ListingHistory.ts";

/**
 * Takes the instances about which the store is believed from now on.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns their entries in the store by id; undefined for those that it does not list
 */
export const takeSettled = ({ unsettled }: ListingHistory, nowMs: number): ReadonlyMap<string, InstanceEntry | undefined> => {
    const due = [...unsettled].filter(([, { dueAtMs }]) => nowMs >= dueAtMs);
    due.forEach(([id]) => unsettled.delete(id));
    return new Map(due.map(([id, { listed }]) => [id, listed]));
};
