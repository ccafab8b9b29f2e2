import type { TermStart } from "./ControlView.ts";
import type { TableService } from "./Platform.ts";

/** Leadership of a group, from its row in the table service and from the lease of this VM. */
export interface GroupLeadership {
    readonly group: string;
    /** Version of the group's row. */
    readonly rowVersion: number;
    readonly term: number;
    /** Name of the primary's instance. */
    readonly primary: string;
    /** VM that holds the primary. */
    readonly holder: string;
    readonly history: readonly TermStart[];
    readonly witnesses: readonly string[];
    /** Monotonic time of this VM until which it may acknowledge writes, in milliseconds; undefined when it does not lead. */
    readonly leaseExpiresAtMs: number | undefined;
}

/** An entry VM whose controller grants or holds leases. */
export interface ControllerVm {
    readonly vm: string;
    /** Distinguishes the starts of the controller; differs after each restart. */
    readonly incarnation: number;
    readonly failureDomain: string;
    readonly isLeaving: boolean;
}

/** Replication state of an instance, as its database server reports it. */
export interface InstanceProbe {
    readonly isReplica: boolean;
    /** Log position in bytes: the written position on a primary, the replayed position on a replica. */
    readonly position: number;
    readonly timeline: number;
}

/** Control of a group's database servers. A call may fail after it has taken effect. */
export interface DatabaseControl {
    probe(group: string, instance: string): Promise<InstanceProbe>;
    promote(group: string, instance: string): Promise<void>;
    /**
     * Makes a replica follow another instance. With an empty `upstream` the replica stops following, and the
     * promise resolves once all received log has been replayed, so that the replica's position is final.
     */
    follow(group: string, instance: string, upstream: string): Promise<void>;
}

/** Identity and dependencies of a lease service. */
export interface LeaseServiceOptions {
    readonly vm: string;
    readonly incarnation: number;
    readonly table: TableService;
    readonly database: DatabaseControl;
    /** Sends a message to another VM's controller; it may be lost, delayed or duplicated. */
    send(vm: string, message: Uint8Array): void;
    nowMs(): number;
    /** Random number from 0 to 1, from a seeded generator or from the system. */
    random(): number;
    /** Called when a group's leadership changes, but not when only the lease's expiry does: read that with `leadership`. */
    onChange(leadership: GroupLeadership): void;
    /** Called when a call to the table service or a database server fails. The call counts as unanswered and is retried where needed. */
    onCallFailed(call: string, subject: string, error: Error): void;
}

/** Lease, witness and promotion logic of all groups, run by the controller of one VM. */
export interface LeaseService {
    /** Sets the groups: the failure domain of each instance, by group and instance name. */
    setGroups(groups: Readonly<Record<string, Readonly<Record<string, string>>>>): void;
    /** Sets the controllers that are believed to be alive. */
    setVms(vms: readonly ControllerVm[]): void;
    receive(fromVm: string, message: Uint8Array): void;
    /** Reports whether this VM's proxy can reach an instance that it holds. */
    reportInstance(group: string, instance: string, isReachable: boolean): void;
    leadership(): ReadonlyMap<string, GroupLeadership>;
    /**
     * Runs a planned promotion; only the VM that holds the primary can.
     *
     * @returns a `ResultCode`; `NotHolder` on any other VM
     */
    promote(group: string, instance: string): Promise<number>;
    /** Transfers the leadership of every group that this VM leads to other VMs, before a shutdown. */
    release(): Promise<void>;
    close(): void;
}
