import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { planRetry, RetryDecisionKind } from "@pomeloturn/plan-retry/planRetry";
import { mergePosition } from "@pomeloturn/session-token/mergePosition";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { type AnswerPart, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { opensImplicitTransaction } from "./addTransactionControl.ts";
import { buildRecordAction } from "./buildRecordAction.ts";
import { buildTokenStatus } from "./buildTokenStatus.ts";
import { failRequest } from "./failRequest.ts";
import { filterAnswer } from "./filterAnswer.ts";
import { isRead, replanRequest } from "./planRequest.ts";
import { startQueuedUnits } from "./receiveMessages.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";
import { failsAtMs, setDeadlineTimer } from "./setDeadlineTimer.ts";

/** Relays a part of an answer or retries the request, and starts the next unit after the last part. */
export const receiveAnswer = (state: SessionState, part: AnswerPart, context: SessionContext, nowMs: number): SessionAction[] => {
    const current = state.current;
    if (current === undefined || part.requestId !== current.request.requestId) {
        return receiveAbandonedAnswer(state, part);
    }
    if (part.attempt !== current.request.attempt || current.retryAtMs !== undefined) {
        return [];
    }
    if (part.resultCode !== ResultCode.Ok) {
        return handleFailure(state, current, part.resultCode as ResultCode, true, context, nowMs);
    }
    if (!current.isAnswerRelayed && nowMs > current.freshnessExpiresAtMs) {
        return handleFailure(state, current, ResultCode.FreshnessLapsed, part.isLast, context, nowMs);
    }
    const { messages, hasError } = filterAnswer(part.messages, part.isLast, current);
    current.isAnswerRelayed ||= messages.length > 0;
    if (!part.isLast) {
        return [{ kind: SessionActionKind.Reply, messages: [messages] }];
    }
    state.isSkippingToSync ||= hasError && current.unit.isFlush;
    return completeRequest(state, current, part, [messages], context, nowMs);
};

/** Handles a late answer to an abandoned request: ends the transaction that the request opened. */
const receiveAbandonedAnswer = (state: SessionState, part: AnswerPart): SessionAction[] => {
    const abandoned = state.abandonedRequests.get(part.requestId);
    if (abandoned === undefined || !part.isLast) {
        return [];
    }
    state.abandonedRequests.delete(part.requestId);
    const actions: SessionAction[] = [];
    if (part.transactionStatus !== TransactionStatus.Idle) {
        actions.push({ kind: SessionActionKind.EndTransaction, ...abandoned });
    }
    if (state.isClosed && state.abandonedRequests.size === 0) {
        actions.push({ kind: SessionActionKind.Finished });
    }
    return actions;
};

const completeRequest = (
    state: SessionState,
    current: CurrentRequest,
    part: AnswerPart,
    messages: Uint8Array[],
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    updateTransaction(state, current, part.transactionStatus);
    reportLag(state, current, false, context, nowMs);
    if (part.position.term !== 0 && part.transactionStatus === TransactionStatus.Idle) {
        state.token = mergePosition(state.token, current.request.group, part.position);
        state.lastWriteAtMs.set(current.request.group, nowMs);
        messages.push(buildTokenStatus(state, context));
    }
    if (!current.unit.isFlush) {
        messages.push(buildReadyForQuery(state.status));
    }
    state.current = undefined;
    return [
        { kind: SessionActionKind.Reply, messages },
        buildRecordAction(state, current, ResultCode.Ok, nowMs),
        ...startQueuedUnits(state, context, nowMs),
    ];
};

/** Reports to the routing whether a replica had already replayed the session's last write. */
const reportLag = (state: SessionState, current: CurrentRequest, isBehind: boolean, context: SessionContext, nowMs: number): void => {
    const { mode, group, instance } = current.request;
    const lastWriteAtMs = state.lastWriteAtMs.get(group);
    if (mode === RequestMode.ReplicaRead && lastWriteAtMs !== undefined) {
        context.statistics.recordLag(instanceKey(group, instance), nowMs - lastWriteAtMs, isBehind);
    }
};

const updateTransaction = (state: SessionState, current: CurrentRequest, status: TransactionStatus): void => {
    state.status = status;
    if (status === TransactionStatus.Idle) {
        state.transaction = undefined;
        return;
    }
    const { transactionId, group, instance, term } = current.request;
    const isImplicit = opensImplicitTransaction(current.unit);
    state.transaction ??= { id: transactionId, group, instance, vm: current.vm, term, isImplicit, isLost: false };
};

const handleFailure = (
    state: SessionState,
    current: CurrentRequest,
    code: ResultCode,
    isAnswered: boolean,
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    if (code === ResultCode.ReplicaBehind) {
        reportLag(state, current, true, context, nowMs);
    }
    const decision = planRetry(
        {
            code,
            attempt: current.request.attempt,
            isRead: isRead(current.unit),
            isIdempotent: current.request.idempotencyKey !== "",
            isInTransaction: state.transaction !== undefined,
            isAnswerRelayed: current.isAnswerRelayed,
            deadlineAtMs: current.deadlineAtMs,
        },
        context.retryBudget(state.service),
        nowMs,
        context.random(),
    );
    if (decision.kind === RetryDecisionKind.GiveUp) {
        return [...failRequest(state, current, decision.code, isAnswered, nowMs), ...startQueuedUnits(state, context, nowMs)];
    }
    if (current.request.mode === RequestMode.ReplicaRead) {
        current.excludedInstances.add(current.request.instance);
    }
    current.retryAtMs = nowMs + decision.delayMs;
    return decision.delayMs === 0
        ? retry(state, current, context, nowMs)
        : [{ kind: SessionActionKind.SetTimer, atMs: current.retryAtMs }];
};

const retry = (state: SessionState, current: CurrentRequest, context: SessionContext, nowMs: number): SessionAction[] => {
    try {
        replanRequest(state, current, context, nowMs);
    }
    catch (error) {
        if (!(error instanceof PomeloturnError)) {
            throw error;
        }
        current.request = { ...current.request, attempt: current.request.attempt + 1 };
        return handleFailure(state, current, error.code, true, context, nowMs);
    }
    current.retryAtMs = undefined;
    return [{ kind: SessionActionKind.Forward, vm: current.vm, request: current.request }, setDeadlineTimer(current)];
};

/** Handles the timer of the session: sends a retry that is due, or fails a request whose deadline has passed. */
export const handleTimer = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] => {
    const { current } = state;
    if (current === undefined) {
        return [];
    }
    if (current.retryAtMs !== undefined) {
        return nowMs >= current.retryAtMs
            ? retry(state, current, context, nowMs)
            : [{ kind: SessionActionKind.SetTimer, atMs: current.retryAtMs }];
    }
    if (nowMs < failsAtMs(current)) {
        return [setDeadlineTimer(current)];
    }
    return [...failRequest(state, current, ResultCode.DeadlineWhileRunning, false, nowMs), ...startQueuedUnits(state, context, nowMs)];
};

/** Fails the current request, if any, on the caller's request to cancel it. */
export const cancelCurrentRequest = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] =>
    state.current === undefined
        ? []
        : [...failRequest(state, state.current, ResultCode.Canceled, false, nowMs), ...startQueuedUnits(state, context, nowMs)];
