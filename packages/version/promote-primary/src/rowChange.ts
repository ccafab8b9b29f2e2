import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type GroupRow, groupRowKey, type StoredRow } from "@pomeloturn/group-lease/GroupRow";
import { formatGroupRow, parseGroupRow } from "@pomeloturn/group-lease/groupRowCodec";
import { LeaseMessageKind } from "@pomeloturn/group-lease/LeaseMessage";
import type { TableResult, TableRow } from "@pomeloturn/types/Platform";
import { GroupActionKind } from "./GroupAction.ts";
import { createPrimaryProbeState, type GroupState, isHolder, type RowChange, type Step } from "./GroupState.ts";
import { leaseExpiryForVersion } from "./leaseExpiryForVersion.ts";
import { CHANGE_READY_TIMEOUT_MS, READ_BACK_INTERVAL_MS, WRITE_RETRY_MS } from "./promotionTiming.ts";
import { receiveTableEra } from "./tableEra.ts";

const nextOperationId = (state: GroupState, { self }: Step): string =>
    `${groupRowKey(state.group)}/${self.vm}/${self.incarnation}/${++state.operationCount}`;

/** Starts a change of the row based on the known version. */
export const startChange = (state: GroupState, step: Step, nextRow: Omit<GroupRow, "operationId">, isLeaderKept: boolean): void => {
    const operationId = nextOperationId(state, step);
    state.change = {
        operationId,
        expectedVersion: state.stored?.version ?? 0,
        expectedEra: step.guards.isEraCompared ? state.tableEra : undefined,
        nextRow: { ...nextRow, operationId },
        isLeaderKept,
        startedAtMs: step.nowMs,
        isSent: false,
        isOutstanding: false,
        nextTryAtMs: step.nowMs,
    };
    runChange(state, step);
};

/** Sends the change when it is ready, repeats it with the same operation id while its outcome is unknown, or drops it when it does not become ready in time. */
export const runChange = (state: GroupState, step: Step): void => {
    const { change } = state;
    if (change === undefined || step.nowMs < change.nextTryAtMs) {
        return;
    }
    if (change.isOutstanding) {
        readBack(change, step);
        return;
    }
    if (!change.isSent && !isReadyToSend(state, change, step)) {
        if (step.nowMs - change.startedAtMs >= CHANGE_READY_TIMEOUT_MS) {
            state.change = undefined;
        }
        return;
    }
    change.isSent = true;
    change.isOutstanding = true;
    change.nextTryAtMs = step.nowMs + READ_BACK_INTERVAL_MS;
    const { operationId, expectedVersion, expectedEra, nextRow } = change;
    step.actions.push({ kind: GroupActionKind.WriteRow, operationId, expectedVersion, expectedEra, value: formatGroupRow(nextRow) });
};

/** Reads the row to find out whether a change without an answer has taken effect. */
const readBack = (change: RowChange, step: Step): void => {
    change.nextTryAtMs = step.nowMs + READ_BACK_INTERVAL_MS;
    step.actions.push({ kind: GroupActionKind.ReadRow });
};

/** Whether the change may be sent: the grants of the new witnesses must cover the published lease before the row names them. */
const isReadyToSend = (state: GroupState, change: RowChange, step: Step): boolean => {
    if (!change.isLeaderKept || !step.guards.areBothSetsNeeded || state.publishedUntilMs <= step.nowMs) {
        return true;
    }
    return leaseExpiryForVersion(state, change.nextRow.witnesses, change.expectedVersion + 1, step) >= state.publishedUntilMs;
};

/** Processes the table service's answer to a change or a repair; undefined means no answer. */
export const receiveWriteResult = (state: GroupState, step: Step, operationId: string, result: TableResult | undefined): void => {
    const { change } = state;
    if (change?.operationId !== operationId) {
        const current = state.repairOperationId === operationId ? result?.rows[0] : undefined;
        if (current !== undefined) {
            receiveStoredRow(state, step, current);
        }
        return;
    }
    change.isOutstanding = false;
    if (result === undefined) {
        change.nextTryAtMs = step.nowMs + WRITE_RETRY_MS;
        return;
    }
    if (result.isApplied) {
        adoptRow(state, step, { version: change.expectedVersion + 1, row: change.nextRow });
        broadcastRow(state, step);
        return;
    }
    const current = result.rows.find(({ key }) => key === groupRowKey(state.group));
    if (!step.guards.isVersionCompared && current !== undefined) {
        change.operationId = nextOperationId(state, step);
        change.expectedVersion = current.version;
        change.expectedEra = current.era;
        return;
    }
    state.change = undefined;
    if (current !== undefined) {
        receiveStoredRow(state, step, current);
    }
};

/**
 * Processes the row that stands in the table service. A row older than the known one shows that the service was restored from
 * an older copy: the known row is then written again until it has its version there, since VMs lead and grant under that version.
 */
export const receiveStoredRow = (state: GroupState, step: Step, current: TableRow): void => {
    receiveTableEra(state, step, current.era);
    const { stored } = state;
    if (stored === undefined || current.version >= stored.version) {
        receiveTableRow(state, step, current);
        return;
    }
    state.repairOperationId = nextOperationId(state, step);
    step.actions.push({
        kind: GroupActionKind.WriteRow,
        operationId: state.repairOperationId,
        expectedVersion: current.version,
        expectedEra: current.era,
        value: formatGroupRow(stored.row),
    });
};

/** Processes a row of the table service, as it stands there or as another VM knows it. Version 0 means that the row does not exist. */
export const receiveTableRow = (state: GroupState, step: Step, { version, value }: TableRow): void => {
    if (version === 0) {
        state.rowMissingSinceMs ??= step.nowMs;
        return;
    }
    const row = parseGroupRow(value);
    if (row === undefined) {
        return;
    }
    const isOwnChange = state.change?.operationId === row.operationId;
    adoptRow(state, step, { version, row });
    if (isOwnChange) {
        broadcastRow(state, step);
    }
};

const adoptRow = (state: GroupState, step: Step, stored: StoredRow): void => {
    const before = state.stored;
    if (before !== undefined && stored.version <= before.version) {
        return;
    }
    const isSamePrimary = before?.row.term === stored.row.term && before.row.primary === stored.row.primary;
    state.stored = stored;
    state.rowAdoptedAtMs = step.nowMs;
    state.notifiedIncarnations.clear();
    state.rowMissingSinceMs = undefined;
    if (state.change !== undefined && state.change.expectedVersion < stored.version && step.guards.isVersionCompared) {
        state.change = undefined;
    }
    for (const key of state.grants.keys()) {
        if (Number.parseInt(key) < stored.version) {
            state.grants.delete(key);
        }
    }
    if (!isSamePrimary) {
        state.primary = createPrimaryProbeState();
    }
    finishElection(state, step, stored.row.primary);
    state.isRenewalRefused = false;
    state.isTransferRequested &&= isHolder(state, step);
    state.isTransferringLeadership = false;
    state.witness.holderHeardAtMs = step.nowMs;
    state.renewedAtMs = -Infinity;
    state.repairedAtMs = -Infinity;
    step.actions.push({ kind: GroupActionKind.LeadershipChanged });
};

const finishElection = (state: GroupState, step: Step, primary: string): void => {
    const target = state.election?.target;
    state.election = undefined;
    if (target !== undefined) {
        const code = target === primary ? ResultCode.Ok : ResultCode.TermChanged;
        step.actions.push({ kind: GroupActionKind.FinishPromotion, code });
    }
};

/** Sends the row to all VMs that have not received it. They need it for routing and as witnesses. */
export const broadcastRow = (state: GroupState, step: Step): void => {
    for (const { vm, incarnation } of step.vms) {
        const vmIncarnation = `${vm}/${incarnation}`;
        if (vm !== step.self.vm && !state.notifiedIncarnations.has(vmIncarnation)) {
            state.notifiedIncarnations.add(vmIncarnation);
            sendRow(state, step, vm);
        }
    }
};

/** Sends the row to one VM. */
export const sendRow = (state: GroupState, step: Step, vm: string): void => {
    const { stored } = state;
    if (stored !== undefined) {
        const message = { kind: LeaseMessageKind.RowNotice, rowVersion: stored.version, value: formatGroupRow(stored.row) };
        step.actions.push({ kind: GroupActionKind.Send, vm, message });
    }
};
