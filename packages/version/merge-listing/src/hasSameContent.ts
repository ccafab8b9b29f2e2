import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";

/** Whether two entries of an instance differ at most in the number of the report and in the point at which they were written. */
export const hasSameContent = (a: InstanceEntry, b: InstanceEntry): boolean =>
    a.service === b.service
    && a.host === b.host
    && a.port === b.port
    && a.failureDomain === b.failureDomain
    && a.slots === b.slots
    && a.isDraining === b.isDraining
    && a.isPrimary === b.isPrimary
    && a.startedAtMs === b.startedAtMs;
