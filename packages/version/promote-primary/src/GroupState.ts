import type { GroupRow, StoredRow, VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import { createWitness, type WitnessState } from "@pomeloturn/group-lease/witness";
import type { ControllerVm, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { GroupAction } from "./GroupAction.ts";

/** A change of the row that this VM wants or has sent. It ends only when the table's answer or a newer row is known. */
export interface RowChange {
    operationId: string;
    expectedVersion: number;
    readonly next: GroupRow;
    /** Whether the same holder goes on leading at the same primary. */
    readonly isContinuing: boolean;
    readonly startedAtMs: number;
    isSent: boolean;
    isOutstanding: boolean;
    nextTryAtMs: number;
}

/** An attempt of this VM to become the holder or to replace the primary. */
export interface Election {
    readonly startedAtMs: number;
    /** Whether this VM is the holder, so that no promises are needed. */
    readonly isOwn: boolean;
    /** Instance that an operator wants as the primary. */
    readonly target: string | undefined;
    /** Time at which a promising witness's grants have run out, by VM. */
    readonly promises: Map<string, number>;
    preparedAtMs: number;
    /** Time from which nobody leads under the present row; undefined until a majority has promised. */
    waitUntilMs: number | undefined;
    freezeStartedAtMs: number | undefined;
    readonly frozen: Map<string, InstanceProbe>;
    /** Last order to each instance. */
    readonly orderedAtMs: Map<string, number>;
    targetProbe: InstanceProbe | undefined;
}

/** What the probes say of the primary that the row names. */
export interface PrimaryWatch {
    /** Whether it was seen out of recovery under the row's term. */
    isConfirmed: boolean;
    probedAtMs: number;
    /** Number of probes that have no answer yet. */
    outstanding: number;
    /** When the last successful probe was sent. */
    answeredAtMs: number;
    lastProbe: InstanceProbe | undefined;
    /** When the first of the failed probes was sent. */
    failingSinceMs: number | undefined;
    promotedAtMs: number;
}

/** What one VM knows of and does for a group. */
export interface GroupState {
    readonly group: string;
    /** Failure domain of each instance. */
    instances: Readonly<Record<string, string>>;
    stored: StoredRow | undefined;
    /** When the table first said that there is no row. */
    missingSinceMs: number | undefined;
    /** Probes made to create the first row. */
    readonly found: Map<string, InstanceProbe>;
    readonly witness: WitnessState;
    /** Time until which this VM leaves the election to another candidate. */
    deferUntilMs: number;
    /** When the renewal was sent that a witness granted, by row version and VM. */
    readonly grants: Map<string, number>;
    change: RowChange | undefined;
    election: Election | undefined;
    primary: PrimaryWatch;
    /** Planned promotion whose target is not yet probed. */
    plannedInstance: string | undefined;
    /** Whether this VM was asked to name another holder. */
    isHandingOver: boolean;
    /** Whether this VM has stopped to publish its lease, to name another holder once it has ended. */
    isMoving: boolean;
    /** When the table last answered a read. */
    tableAnsweredAtMs: number;
    /** Starts of VMs that this VM, as the holder, has told the present row. */
    readonly told: Set<string>;
    /** When this VM last knew a newer row. */
    adoptedAtMs: number;
    /** Whether a witness refused to renew the present row version. */
    isRefused: boolean;
    witnessesGoneSinceMs: number | undefined;
    /** Latest time until which this VM's proxy was allowed to acknowledge. */
    publishedUntilMs: number;
    /** Row version under which this VM will not lead again. */
    releasedVersion: number;
    renewedAtMs: number;
    readAtMs: number;
    tickedAtMs: number;
    repairedAtMs: number;
    operationCount: number;
}

/** One decision: who decides, what it knows of the VMs, when, and the actions it asks for. */
export interface Step {
    readonly self: VmIncarnation;
    readonly vms: readonly ControllerVm[];
    readonly guards: LeaseGuards;
    readonly nowMs: number;
    readonly actions: GroupAction[];
}

/** A primary of which nothing is known. */
export const createPrimaryWatch = (): PrimaryWatch => ({
    isConfirmed: false,
    probedAtMs: -Infinity,
    outstanding: 0,
    answeredAtMs: -Infinity,
    lastProbe: undefined,
    failingSinceMs: undefined,
    promotedAtMs: -Infinity,
});

/** @param startedAtMs start of this process; @param nowMs time at which the group was added */
export const createGroup = (
    group: string,
    instances: Readonly<Record<string, string>>,
    startedAtMs: number,
    nowMs: number,
): GroupState => ({
    group,
    instances,
    stored: undefined,
    missingSinceMs: undefined,
    found: new Map(),
    witness: createWitness(startedAtMs, nowMs),
    deferUntilMs: -Infinity,
    grants: new Map(),
    change: undefined,
    election: undefined,
    primary: createPrimaryWatch(),
    plannedInstance: undefined,
    isHandingOver: false,
    isMoving: false,
    tableAnsweredAtMs: -Infinity,
    told: new Set(),
    adoptedAtMs: nowMs,
    isRefused: false,
    witnessesGoneSinceMs: undefined,
    publishedUntilMs: -Infinity,
    releasedVersion: 0,
    renewedAtMs: -Infinity,
    readAtMs: -Infinity,
    tickedAtMs: nowMs,
    repairedAtMs: -Infinity,
    operationCount: 0,
});

/** Whether the row names this start of this VM as the holder. */
export const isHolder = (state: GroupState, step: Step): boolean => {
    const holder = state.stored?.row.holder;
    return holder?.vm === step.self.vm && (holder.incarnation === step.self.incarnation || !step.guards.isHolderIncarnationChecked);
};
