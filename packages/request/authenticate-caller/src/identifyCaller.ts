import type { RouteEntry, RouteTable } from "@pomeloturn/types/ServiceEntries";

/** Identity of callers that belong to no team. Instances are told the VM's name instead. */
export const NO_TEAM = "";

/**
 * Finds the team under whose name a caller's operation runs.
 *
 * @param key key that the caller sent at start-up; empty when it sent none
 * @returns the team's name, `NO_TEAM` when the route needs no key, or undefined when the key is not valid
 */
export const identifyCaller = ({ teams }: RouteTable, { isPublic }: RouteEntry, key: string): string | undefined =>
    teams === undefined || isPublic === true ? NO_TEAM : teams.teamNamesByKey.get(key);
