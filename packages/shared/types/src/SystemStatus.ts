/** Answer to the operator's command `status`: the system state as known to the controller that answers. */

import type { VmState } from "./ControlView.ts";

/** State of an instance, as its holder reports it. Fields that the answering controller does not know are undefined. */
export interface InstanceStatusView {
    /** VM that holds the instance. */
    readonly holder: string | undefined;
    readonly isReachable: boolean;
    /** Log that the replica has not replayed yet, in bytes; 0 for the primary. */
    readonly lagBytes: number | undefined;
    /** Age of the replica's data, in milliseconds; 0 for the primary. */
    readonly lagMs: number | undefined;
}

/** State of a database group. */
export interface GroupStatusView {
    readonly term: number;
    readonly primary: string;
    /** VM that holds the primary and its lease. */
    readonly holder: string;
    /** Remaining time of the lease; undefined when the answering controller does not know the lease. */
    readonly leaseLeftMs: number | undefined;
    readonly instances: Readonly<Record<string, InstanceStatusView>>;
}

/** State of an entry VM. */
export interface VmStatusView {
    readonly failureDomain: string;
    readonly state: VmState;
    /** Active configuration version of the VM; undefined when the VM has not reported it. */
    readonly configVersion: number | undefined;
    /** Reason why the VM gets no work; undefined when it gets work. */
    readonly unusedReason: string | undefined;
}

/** Traffic on a paid link, compared with the amounts that finance approved. */
export interface LinkStatusView {
    readonly fromRegion: string;
    readonly toRegion: string;
    readonly approvedBytesPerSecond: number;
    readonly usedBytesPerSecond: number;
    readonly approvedBytesPerMonth: number;
    readonly usedBytesThisMonth: number;
}

/** Status of the whole system. */
export interface SystemStatus {
    /** VM whose controller answered. */
    readonly vm: string;
    readonly configVersion: number;
    readonly groups: Readonly<Record<string, GroupStatusView>>;
    readonly vms: Readonly<Record<string, VmStatusView>>;
    readonly links: readonly LinkStatusView[];
}
