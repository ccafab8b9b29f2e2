import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** Whether two entries name the same process at the same address. */
export const isSameInstance = (a: InstanceEntry, b: InstanceEntry): boolean =>
    a.host === b.host && a.port === b.port && a.service === b.service && a.startedAtMs === b.startedAtMs;
