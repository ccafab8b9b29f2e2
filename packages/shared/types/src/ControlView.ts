/** What a proxy knows of the system at a moment. Replaced as a whole by the controller of its VM. */

import type { Configuration } from "./Configuration.ts";

/** Where a term began in the log. */
export interface TermStart {
    readonly term: number;
    /** Log position in bytes. */
    readonly position: number;
    /** Timeline that the primary was on before the promotion that began the term; absent for the first term. */
    readonly fromTimeline?: number;
}

/** A database group as the table service's row and the lease state it. */
export interface GroupView {
    readonly term: number;
    /** Name of the primary's instance. */
    readonly primary: string;
    /** Starts of the terms that are remembered, oldest first. */
    readonly history: readonly TermStart[];
    /** The VM that holds each instance, by the instance's name. */
    readonly holders: Readonly<Record<string, string>>;
    /** Instances on backend VMs that are leaving: they get no new work. Absent means none. */
    readonly leavingInstances?: readonly string[];
    /**
     * Monotonic time of this VM until which it may acknowledge writes of the group, in milliseconds.
     * Undefined on VMs that do not hold the group's primary.
     */
    readonly leaseExpiresAtMs?: number;
}

/** Constants for `VmView.state`. */
export const VmState = {
    Live: "live",
    Leaving: "leaving",
    Gone: "gone",
} as const;
export type VmState = typeof VmState[keyof typeof VmState];

/** An entry VM. */
export interface VmView {
    readonly host: string;
    /** TCP port of the proxy's peer service. */
    readonly peerPort: number;
    /** TCP port of the controller's service. */
    readonly controllerPort: number;
    readonly failureDomain: string;
    readonly state: VmState;
}

/** The view of one VM's proxy. */
export interface ControlView {
    readonly configVersion: number;
    readonly configuration: Configuration;
    readonly vms: Readonly<Record<string, VmView>>;
    readonly groups: Readonly<Record<string, GroupView>>;
}
