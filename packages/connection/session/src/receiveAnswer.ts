import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { planRetry, RetryDecisionKind } from "@pomeloturn/plan-retry/planRetry";
import { mergePosition } from "@pomeloturn/session-token/mergePosition";
import { instanceKey } from "@pomeloturn/types/InstanceStatus";
import { type AnswerPart, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { opensImplicit } from "./encloseUnit.ts";
import { filterAnswer } from "./filterAnswer.ts";
import { giveUp } from "./giveUp.ts";
import { isRead, replanRequest } from "./planRequest.ts";
import { startNext } from "./receiveMessages.ts";
import { record } from "./recordRequest.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";
import { buildTokenStatus } from "./tokenStatus.ts";
import { DEADLINE_GRACE_MS, wakeAtDeadline } from "./wakeAtDeadline.ts";

/** Relays a part of an answer, or retries, and starts the next unit after the last part. */
export const receiveAnswer = (state: SessionState, part: AnswerPart, context: SessionContext, nowMs: number): SessionAction[] => {
    const current = state.current;
    if (current === undefined || part.requestId !== current.request.requestId) {
        return receiveAbandoned(state, part);
    }
    if (part.attempt !== current.request.attempt || current.retryAtMs !== undefined) {
        return [];
    }
    if (part.resultCode !== ResultCode.Ok) {
        return fail(state, current, part.resultCode as ResultCode, true, context, nowMs);
    }
    if (!current.isAnswerRelayed && nowMs > current.freshUntilMs) {
        return fail(state, current, ResultCode.FreshnessLapsed, part.isLast, context, nowMs);
    }
    const { messages, hasError } = filterAnswer(part.messages, part.isLast, current);
    current.isAnswerRelayed ||= messages.length > 0;
    if (!part.isLast) {
        return [{ kind: SessionActionKind.Reply, messages: [messages] }];
    }
    state.isSkipping ||= hasError && current.unit.isFlush;
    return finish(state, current, part, [messages], context, nowMs);
};

/** A late answer of a request that was given up: a transaction that it opened is ended. */
const receiveAbandoned = (state: SessionState, part: AnswerPart): SessionAction[] => {
    const abandoned = state.abandoned.get(part.requestId);
    if (abandoned === undefined || !part.isLast) {
        return [];
    }
    state.abandoned.delete(part.requestId);
    const actions: SessionAction[] = [];
    if (part.transactionStatus !== TransactionStatus.Idle) {
        actions.push({ kind: SessionActionKind.EndTransaction, ...abandoned });
    }
    if (state.isClosed && state.abandoned.size === 0) {
        actions.push({ kind: SessionActionKind.Finished });
    }
    return actions;
};

const finish = (
    state: SessionState,
    current: CurrentRequest,
    part: AnswerPart,
    messages: Uint8Array[],
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    updateTransaction(state, current, part.transactionStatus);
    learnLag(state, current, false, context, nowMs);
    if (part.position.term !== 0 && part.transactionStatus === TransactionStatus.Idle) {
        state.token = mergePosition(state.token, current.request.group, part.position);
        state.writtenAtMs.set(current.request.group, nowMs);
        messages.push(buildTokenStatus(state, context));
    }
    if (!current.unit.isFlush) {
        messages.push(buildReadyForQuery(state.status));
    }
    state.current = undefined;
    return [
        { kind: SessionActionKind.Reply, messages },
        record(state, current, ResultCode.Ok, nowMs),
        ...startNext(state, context, nowMs),
    ];
};

/** Tells routing how the replica's check of the session's last write went. */
const learnLag = (state: SessionState, current: CurrentRequest, isBehind: boolean, context: SessionContext, nowMs: number): void => {
    const { mode, group, instance } = current.request;
    const writtenAtMs = state.writtenAtMs.get(group);
    if (mode === RequestMode.ReplicaRead && writtenAtMs !== undefined) {
        context.knowledge.recordLag(instanceKey(group, instance), nowMs - writtenAtMs, isBehind);
    }
};

const updateTransaction = (state: SessionState, current: CurrentRequest, status: TransactionStatus): void => {
    state.status = status;
    if (status === TransactionStatus.Idle) {
        state.transaction = undefined;
        return;
    }
    const { transactionId, group, instance, term } = current.request;
    const isImplicit = opensImplicit(current.unit);
    state.transaction ??= { id: transactionId, group, instance, vm: current.vm, term, isImplicit, isLost: false };
};

const fail = (
    state: SessionState,
    current: CurrentRequest,
    code: ResultCode,
    isAnswered: boolean,
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    if (code === ResultCode.ReplicaBehind) {
        learnLag(state, current, true, context, nowMs);
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
        return [...giveUp(state, current, decision.code, isAnswered, nowMs), ...startNext(state, context, nowMs)];
    }
    if (current.request.mode === RequestMode.ReplicaRead) {
        current.excluded.add(current.request.instance);
    }
    current.retryAtMs = nowMs + decision.delayMs;
    return decision.delayMs === 0
        ? retry(state, current, context, nowMs)
        : [{ kind: SessionActionKind.Wake, atMs: current.retryAtMs }];
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
        return fail(state, current, error.code, true, context, nowMs);
    }
    current.retryAtMs = undefined;
    return [{ kind: SessionActionKind.Forward, vm: current.vm, request: current.request }, wakeAtDeadline(current)];
};

/** Sends the retry that is due, or ends a request whose deadline has passed. */
export const wake = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] => {
    const { current } = state;
    if (current === undefined) {
        return [];
    }
    if (current.retryAtMs !== undefined) {
        return nowMs >= current.retryAtMs
            ? retry(state, current, context, nowMs)
            : [{ kind: SessionActionKind.Wake, atMs: current.retryAtMs }];
    }
    if (nowMs < current.deadlineAtMs + DEADLINE_GRACE_MS) {
        return [wakeAtDeadline(current)];
    }
    return [...giveUp(state, current, ResultCode.DeadlineWhileRunning, false, nowMs), ...startNext(state, context, nowMs)];
};

/** Ends the request under way because the caller asked to cancel it. */
export const cancelCurrent = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] =>
    state.current === undefined
        ? []
        : [...giveUp(state, state.current, ResultCode.Canceled, false, nowMs), ...startNext(state, context, nowMs)];
