import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** Whether an instance made report `a` before report `b`, in whatever order the store has them. False when the order is not known. */
export const isOlderReport = (a: InstanceEntry, b: InstanceEntry): boolean => {
    if (a.startedAtMs === b.startedAtMs) {
        return a.reportNumber !== undefined && b.reportNumber !== undefined && a.reportNumber < b.reportNumber;
    }
    return a.startedAtMs !== undefined && b.startedAtMs !== undefined && a.startedAtMs < b.startedAtMs;
};
