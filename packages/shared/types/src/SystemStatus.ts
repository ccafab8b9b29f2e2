/** What the operator's command `status` shows: the system as the controller that answers sees it. */

import type { VmState } from "./ControlView.ts";

/** An instance as its holder reports it. Undefined fields are not known to the controller that answers. */
export interface InstanceStatusView {
    /** VM that holds the instance. */
    readonly holder: string | undefined;
    readonly isReachable: boolean;
    /** Log that the primary has and the replica has not replayed, in bytes; 0 for the primary. */
    readonly lagBytes: number | undefined;
    /** Age of the replica's data, in milliseconds; 0 for the primary. */
    readonly lagMs: number | undefined;
}

/** A database group. */
export interface GroupStatusView {
    readonly term: number;
    readonly primary: string;
    /** VM that holds the primary and its lease. */
    readonly holder: string;
    /** Undefined when the controller that answers does not know the lease. */
    readonly leaseLeftMs: number | undefined;
    readonly instances: Readonly<Record<string, InstanceStatusView>>;
}

/** An entry VM. */
export interface VmStatusView {
    readonly failureDomain: string;
    readonly state: VmState;
    /** Configuration version in force on the VM; undefined when it has not said. */
    readonly configVersion: number | undefined;
    /** Why no work is given to the VM; undefined when it is used. */
    readonly unusedReason: string | undefined;
}

/** Use of a paid link against what finance approved. */
export interface LinkStatusView {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly approvedBytesPerSecond: number;
    readonly usedBytesPerSecond: number;
    readonly approvedBytesPerMonth: number;
    readonly usedBytesThisMonth: number;
}

/** The whole status. */
export interface SystemStatus {
    /** VM whose controller answered. */
    readonly vm: string;
    readonly configVersion: number;
    readonly groups: Readonly<Record<string, GroupStatusView>>;
    readonly vms: Readonly<Record<string, VmStatusView>>;
    readonly links: readonly LinkStatusView[];
}
