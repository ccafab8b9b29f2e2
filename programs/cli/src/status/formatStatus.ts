import type { SystemStatus } from "@pomeloturn/types/SystemStatus";
import { formatTable } from "../shared/formatTable.ts";

const PERCENT_FACTOR = 100;

/** Formats a status as text tables of groups, instances, VMs and links. */
export const formatStatus = (status: SystemStatus): string =>
    [
        `as seen by ${status.vm}, configuration version ${status.configVersion}`,
        formatGroups(status),
        formatInstances(status),
        formatVms(status),
        formatLinks(status),
    ].join("\n\n");

const formatGroups = ({ groups }: SystemStatus): string =>
    formatTable(
        ["group", "term", "primary", "holder", "lease left ms"],
        Object.entries(groups).map(([name, { term, primary, holder, leaseLeftMs }]) => [name, term, primary, holder, round(leaseLeftMs)]),
    );

const formatInstances = ({ groups }: SystemStatus): string =>
    formatTable(
        ["instance", "holder", "reachable", "lag bytes", "lag ms"],
        Object.entries(groups).flatMap(([group, { instances }]) =>
            Object.entries(instances).map(([name, { holder, isReachable, lagBytes, lagMs }]) => [
                `${group}/${name}`,
                holder,
                isReachable ? "yes" : "no",
                lagBytes,
                round(lagMs),
            ])
        ),
    );

const formatVms = ({ vms }: SystemStatus): string =>
    formatTable(
        ["VM", "failure domain", "state", "configuration", "not used because"],
        Object.entries(vms).map(([name, { failureDomain, state, configVersion, unusedReason }]) => [
            name,
            failureDomain,
            state,
            configVersion,
            unusedReason,
        ]),
    );

const formatLinks = ({ links }: SystemStatus): string =>
    formatTable(
        ["link", "bytes/s", "approved", "used", "bytes this month", "approved", "used"],
        links.map(link => [
            `${link.fromRegion} to ${link.toRegion}`,
            Math.round(link.usedBytesPerSecond),
            link.approvedBytesPerSecond,
            formatPercentage(link.usedBytesPerSecond, link.approvedBytesPerSecond),
            link.usedBytesThisMonth,
            link.approvedBytesPerMonth,
            formatPercentage(link.usedBytesThisMonth, link.approvedBytesPerMonth),
        ]),
    );

const formatPercentage = (used: number, approved: number): string =>
    approved === 0 ? "-" : `${Math.round(used / approved * PERCENT_FACTOR)}%`;

const round = (value: number | undefined): number | undefined => value === undefined ? undefined : Math.round(value);
