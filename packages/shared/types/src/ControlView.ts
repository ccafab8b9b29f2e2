/** Snapshot of the system state for one proxy. The controller of the proxy's VM replaces it as a whole. */

import type { Configuration } from "./Configuration.ts";

/** Log position at which a term began. */
export interface TermStart {
    readonly term: number;
    /** Log position in bytes. */
    readonly position: number;
    /** Timeline that the primary was on before the promotion that began the term; absent for the first term. */
    readonly fromTimeline?: number;
}

/** State of a database group, from its row in the table service and from the lease. */
export interface GroupView {
    readonly term: number;
    /** Name of the primary's instance. */
    readonly primary: string;
    /** Starts of the retained terms, oldest first. */
    readonly history: readonly TermStart[];
    /** VM that holds each instance, by instance name. */
    readonly holders: Readonly<Record<string, string>>;
    /** Instances on backend VMs that are leaving and get no new requests; absent when there are none. */
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

/** State of the whole system, as given to the proxy of one VM. */
export interface ControlView {
    readonly configVersion: number;
    readonly configuration: Configuration;
    readonly vms: Readonly<Record<string, VmView>>;
    readonly groups: Readonly<Record<string, GroupView>>;
}
