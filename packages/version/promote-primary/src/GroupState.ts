import type { GroupRow, StoredRow, VmIncarnation } from "@pomeloturn/group-lease/GroupRow";
import type { LeaseGuards } from "@pomeloturn/group-lease/LeaseGuards";
import { createWitness, type WitnessState } from "@pomeloturn/group-lease/witness";
import type { ControllerVm, InstanceProbe } from "@pomeloturn/types/Leadership";
import type { GroupAction } from "./GroupAction.ts";

/** A change of the row that this VM prepares or has sent. Once sent, it ends only when the table service's answer or a newer row is known. */
export interface RowChange {
    operationId: string;
    expectedVersion: number;
    expectedEra: number | undefined;
    readonly nextRow: GroupRow;
    /** Whether holder and primary stay the same, so that the holder keeps leading during the change. */
    readonly isLeaderKept: boolean;
    readonly startedAtMs: number;
    isSent: boolean;
    isOutstanding: boolean;
    nextTryAtMs: number;
}

/** An attempt by this VM to become the holder or to replace the primary. */
export interface Election {
    readonly startedAtMs: number;
    /** Whether this VM already is the holder and needs no promises. */
    readonly isByHolder: boolean;
    /** Instance that an operator requested as the primary; undefined in an unplanned election. */
    readonly target: string | undefined;
    /** Time at which the grants of a witness that promised have expired, by VM. */
    readonly promisedLeaseEndMs: Map<string, number>;
    preparedAtMs: number;
    /** Time from which no VM leads under the present row; undefined until a majority has promised. */
    waitUntilMs: number | undefined;
    freezeStartedAtMs: number | undefined;
    readonly frozenProbes: Map<string, InstanceProbe>;
    /** When each instance was last ordered to freeze or probed. */
    readonly orderedAtMs: Map<string, number>;
    targetProbe: InstanceProbe | undefined;
}

/** Results of the probes of the primary that the row names. */
export interface PrimaryProbeState {
    /** Whether a probe showed the primary out of recovery in the row's term. */
    isConfirmed: boolean;
    probedAtMs: number;
    /** Number of probes without an answer so far. */
    outstandingProbeCount: number;
    /** When the last successful probe was sent. */
    answeredProbeSentAtMs: number;
    lastProbe: InstanceProbe | undefined;
    /** When the first probe of the present series of failures was sent. */
    failingSinceMs: number | undefined;
    promotionOrderedAtMs: number;
}

/** State of one group on one VM. Times are monotonic milliseconds of the VM's clock. */
export interface GroupState {
    readonly group: string;
    /** Failure domain of each instance, by instance name. */
    instances: Readonly<Record<string, string>>;
    stored: StoredRow | undefined;
    /** When the table service first reported that the row does not exist. */
    rowMissingSinceMs: number | undefined;
    /** Probes for the creation of the first row, by instance. */
    readonly firstRowProbes: Map<string, InstanceProbe>;
    readonly witness: WitnessState;
    /** Time until which this VM does not become a candidate, because it promised to another one. */
    electionDeferredUntilMs: number;
    /** When the latest granted renewal was sent, by the key that `grantKey` returns. */
    readonly grants: Map<string, number>;
    change: RowChange | undefined;
    /** Last operation that wrote the known row again after the table service had lost it. */
    repairOperationId: string;
    election: Election | undefined;
    primary: PrimaryProbeState;
    /** Target of a planned promotion that waits for the first probe of the target. */
    plannedInstance: string | undefined;
    /** Whether this VM was asked to transfer leadership to another VM. */
    isTransferRequested: boolean;
    /** Whether this VM has stopped publishing its lease and names another holder once the lease has expired. */
    isTransferringLeadership: boolean;
    /** Latest era of the table service that this VM has seen; undefined while it has seen none. */
    tableEra: number | undefined;
    /** Time until which the row is not changed without a valid lease, since a restored table service may have lost a newer row. */
    restoreSettledAtMs: number;
    /** When the table service last answered a read. */
    tableAnsweredAtMs: number;
    /** VM incarnations to which this VM, as the holder, has sent the present row. */
    readonly notifiedIncarnations: Set<string>;
    /** When this VM last adopted a newer row. */
    rowAdoptedAtMs: number;
    /** Whether a witness refused a renewal of the present row version. */
    isRenewalRefused: boolean;
    witnessesMissingSinceMs: number | undefined;
    /** Latest time until which this VM's proxy was allowed to acknowledge. */
    publishedUntilMs: number;
    /** Row version under which this VM will not lead again. */
    releasedVersion: number;
    renewedAtMs: number;
    rowReadAtMs: number;
    tickedAtMs: number;
    repairedAtMs: number;
    operationCount: number;
}

/** Context of one decision, and the actions that it requests. */
export interface Step {
    readonly self: VmIncarnation;
    readonly vms: readonly ControllerVm[];
    readonly guards: LeaseGuards;
    readonly nowMs: number;
    readonly actions: GroupAction[];
}

/** Creates the state of a primary that has not been probed. */
export const createPrimaryProbeState = (): PrimaryProbeState => ({
    isConfirmed: false,
    probedAtMs: -Infinity,
    outstandingProbeCount: 0,
    answeredProbeSentAtMs: -Infinity,
    lastProbe: undefined,
    failingSinceMs: undefined,
    promotionOrderedAtMs: -Infinity,
});

/**
 * @param startedAtMs start of this process
 * @param nowMs time at which the group was added
 */
export const createGroup = (
    group: string,
    instances: Readonly<Record<string, string>>,
    startedAtMs: number,
    nowMs: number,
): GroupState => ({
    group,
    instances,
    stored: undefined,
    rowMissingSinceMs: undefined,
    firstRowProbes: new Map(),
    witness: createWitness(startedAtMs, nowMs),
    electionDeferredUntilMs: -Infinity,
    grants: new Map(),
    change: undefined,
    repairOperationId: "",
    election: undefined,
    primary: createPrimaryProbeState(),
    plannedInstance: undefined,
    isTransferRequested: false,
    isTransferringLeadership: false,
    tableEra: undefined,
    restoreSettledAtMs: -Infinity,
    tableAnsweredAtMs: -Infinity,
    notifiedIncarnations: new Set(),
    rowAdoptedAtMs: nowMs,
    isRenewalRefused: false,
    witnessesMissingSinceMs: undefined,
    publishedUntilMs: -Infinity,
    releasedVersion: 0,
    renewedAtMs: -Infinity,
    rowReadAtMs: -Infinity,
    tickedAtMs: nowMs,
    repairedAtMs: -Infinity,
    operationCount: 0,
});

/** Whether the row names this incarnation of this VM as the holder. */
export const isHolder = (state: GroupState, step: Step): boolean => {
    const holder = state.stored?.row.holder;
    return holder?.vm === step.self.vm && (holder.incarnation === step.self.incarnation || !step.guards.isHolderIncarnationChecked);
};
