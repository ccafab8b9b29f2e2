import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { groupRowKey } from "@pomeloturn/group-lease/GroupRow";
import { ELECTION_TIMEOUT_MS } from "@pomeloturn/group-lease/leaseTiming";
import { createFirstRow } from "./createFirstRow.ts";
import { type GroupAction, GroupActionKind } from "./GroupAction.ts";
import { type GroupEvent, GroupEventKind } from "./GroupEvent.ts";
import { type GroupState, isHolder, type Step } from "./GroupState.ts";
import { leadGroup } from "./leadGroup.ts";
import { monitorHolder } from "./monitorHolder.ts";
import { MESSAGE_CATCH_UP_MS, PAUSE_DETECTION_MS, READ_INTERVAL_MS, READ_RETRY_MS } from "./promotionTiming.ts";
import { receiveMessage } from "./receiveMessage.ts";
import { receiveProbe } from "./receiveProbe.ts";
import { receiveStoredRow, receiveWriteResult, runChange } from "./rowChange.ts";

type EventOf<Kind extends GroupEvent["kind"]> = Extract<GroupEvent, { readonly kind: Kind; }>;
type Handler<Event> = (state: GroupState, step: Step, event: Event) => void;

const tick: Handler<EventOf<typeof GroupEventKind.Tick>> = (state, step) => {
    excludePause(state, step.nowMs, step.nowMs - state.tickedAtMs);
    state.tickedAtMs = step.nowMs;
    readRowWhenDue(state, step);
    runChange(state, step);
    const { stored } = state;
    if (stored === undefined) {
        if (state.rowMissingSinceMs !== undefined) {
            createFirstRow(state, step, state.rowMissingSinceMs);
        }
        return;
    }
    (isHolder(state, step) ? leadGroup : monitorHolder)(state, step, stored);
};

/** Does not count time in which this VM was paused as silence of others, and leaves time to process queued messages first. */
const excludePause = (state: GroupState, nowMs: number, sinceTickMs: number): void => {
    if (sinceTickMs < PAUSE_DETECTION_MS) {
        return;
    }
    const heardAtMs = Math.min(nowMs, state.witness.holderHeardAtMs + sinceTickMs);
    state.witness.holderHeardAtMs = Math.max(heardAtMs, nowMs - ELECTION_TIMEOUT_MS + MESSAGE_CATCH_UP_MS);
    if (state.primary.failingSinceMs !== undefined) {
        state.primary.failingSinceMs = Math.min(nowMs, state.primary.failingSinceMs + sinceTickMs);
    }
};

const readRowWhenDue = (state: GroupState, step: Step): void => {
    const intervalMs = state.stored === undefined ? READ_RETRY_MS : READ_INTERVAL_MS;
    if (step.nowMs - state.rowReadAtMs >= intervalMs) {
        state.rowReadAtMs = step.nowMs;
        step.actions.push({ kind: GroupActionKind.ReadRow });
    }
};

const receiveRow: Handler<EventOf<typeof GroupEventKind.RowRead>> = (state, step, { row }) => {
    if (row !== undefined && row.key === groupRowKey(state.group)) {
        state.tableAnsweredAtMs = step.nowMs;
        receiveStoredRow(state, step, row);
    }
};

/** A failure report from the proxy makes the next probe due immediately. Only probes decide whether the primary is lost. */
const receiveReport: Handler<EventOf<typeof GroupEventKind.InstanceReported>> = (state, _step, { instance, isReachable }) => {
    if (!isReachable && instance === state.stored?.row.primary && state.primary.outstandingProbeCount === 0) {
        state.primary.probedAtMs = -Infinity;
    }
};

const requestPromotion: Handler<EventOf<typeof GroupEventKind.PromotionRequested>> = (state, step, { instance }) => {
    const refusal = findRefusal(state, step, instance);
    if (refusal !== undefined) {
        step.actions.push({ kind: GroupActionKind.FinishPromotion, code: refusal });
        return;
    }
    state.plannedInstance = instance;
    step.actions.push({ kind: GroupActionKind.Probe, instance });
};

/** @returns the result code with which the request is answered immediately, or undefined when the promotion may start */
const findRefusal = (state: GroupState, step: Step, instance: string): ResultCode | undefined => {
    if (!isHolder(state, step) || state.publishedUntilMs <= step.nowMs) {
        return ResultCode.NotHolder;
    }
    if (instance === state.stored?.row.primary) {
        return ResultCode.Ok;
    }
    if (!(instance in state.instances)) {
        return ResultCode.NoInstance;
    }
    const isBusy = state.election !== undefined || state.change !== undefined || state.plannedInstance !== undefined
        || state.isTransferRequested;
    return isBusy ? ResultCode.TermChanged : undefined;
};

const requestLeadershipTransfer: Handler<EventOf<typeof GroupEventKind.LeadershipTransferRequested>> = (state, step) => {
    state.isTransferRequested = isHolder(state, step);
};

const handlers: { readonly [Kind in GroupEvent["kind"]]: Handler<EventOf<Kind>>; } = {
    [GroupEventKind.Tick]: tick,
    [GroupEventKind.Message]: (state, step, { from, message }) => receiveMessage(state, step, from, message),
    [GroupEventKind.RowRead]: receiveRow,
    [GroupEventKind.RowWritten]: (state, step, { operationId, result }) => receiveWriteResult(state, step, operationId, result),
    [GroupEventKind.Probed]: receiveProbe,
    [GroupEventKind.Frozen]: receiveProbe,
    [GroupEventKind.Promoted]: state => {
        state.primary.probedAtMs = -Infinity;
    },
    [GroupEventKind.InstanceReported]: receiveReport,
    [GroupEventKind.PromotionRequested]: requestPromotion,
    [GroupEventKind.LeadershipTransferRequested]: requestLeadershipTransfer,
};

/**
 * Applies an event to the state of a group on one VM.
 *
 * @returns the actions to carry out, in order
 */
export const stepGroup = (state: GroupState, event: GroupEvent, context: Omit<Step, "actions">): readonly GroupAction[] => {
    const step: Step = { ...context, actions: [] };
    (handlers[event.kind] as Handler<GroupEvent>)(state, step, event);
    return step.actions;
};
