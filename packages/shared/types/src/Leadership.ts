import type { TermStart } from "./ControlView.ts";
import type { TableService } from "./Platform.ts";

/** Who leads a group, from its row in the table service and from the lease of this VM. */
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
    /** Monotonic time of this VM until which it may acknowledge writes; undefined when it does not lead. */
    readonly leaseExpiresAtMs: number | undefined;
}

/** An entry VM whose controller takes part in leases. */
export interface ControllerVm {
    readonly vm: string;
    /** Differs after each start of the controller. */
    readonly incarnation: number;
    readonly failureDomain: string;
    readonly isLeaving: boolean;
}

/** State of an instance as its database states it. */
export interface InstanceProbe {
    readonly isReplica: boolean;
    /** Written position of a primary, replayed position of a replica, in bytes. */
    readonly position: number;
    readonly timeline: number;
}

/** Orders to the database servers of a group. Each may fail after it took effect. */
export interface DatabaseControl {
    probe(group: string, instance: string): Promise<InstanceProbe>;
    promote(group: string, instance: string): Promise<void>;
    /**
     * Makes a replica follow another instance. With an empty upstream it stops following, and the call
     * resolves once what it had received is replayed, so that its position is final.
     */
    follow(group: string, instance: string, upstream: string): Promise<void>;
}

/** What the lease service works with. */
export interface LeaseServiceOptions {
    readonly vm: string;
    readonly incarnation: number;
    readonly table: TableService;
    readonly database: DatabaseControl;
    /** Sends bytes to another VM's controller; they may be lost, late or doubled. */
    send(vm: string, message: Uint8Array): void;
    nowMs(): number;
    /** Seeded or system random number, 0 to 1. */
    random(): number;
    /** Called when a group's leadership changed; the lease's expiry alone is read by `leadership`. */
    onChange(leadership: GroupLeadership): void;
    /** Told of a call that failed. The lease rules take it as unanswered and try again where they have to. */
    onCallFailed(call: string, subject: string, error: Error): void;
}

/** Leases, witnesses and promotion of all groups, as the controller of one VM runs them. */
export interface LeaseService {
    /** Sets the groups with the failure domain of each instance. */
    setGroups(groups: Readonly<Record<string, Readonly<Record<string, string>>>>): void;
    /** Sets the controllers that are believed to be alive. */
    setVms(vms: readonly ControllerVm[]): void;
    receive(fromVm: string, message: Uint8Array): void;
    /** Tells whether this VM's proxy reaches an instance that it holds. */
    reportInstance(group: string, instance: string, isReachable: boolean): void;
    leadership(): ReadonlyMap<string, GroupLeadership>;
    /** Planned promotion, run by the holder's VM; @returns a result code, `NotHolder` on other VMs */
    promote(group: string, instance: string): Promise<number>;
    /** Hands all leadership of this VM over, for a shutdown. */
    release(): Promise<void>;
    close(): void;
}
