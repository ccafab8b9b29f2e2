import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { planRetry } from "@pomeloturn/plan-retry/planRetry";
import { encodeToken } from "@pomeloturn/session-token/encodeToken";
import { type AnswerPart, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { buildErrorResponse, buildParameterStatus, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { isRead, replanRequest } from "./planRequest.ts";
import { startNext } from "./receiveMessages.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";

/** Relays a part of an answer, or retries, and starts the next unit after the last part. */
export const receiveAnswer = (state: SessionState, part: AnswerPart, context: SessionContext, nowMs: number): SessionAction[] => {
    const current = state.current;
    if (current === undefined || part.requestId !== current.request.requestId || part.attempt !== current.request.attempt) {
        return [];
    }
    if (part.resultCode !== ResultCode.Ok) {
        return fail(state, current, part, context, nowMs);
    }
    const messages = removeInjected(part.messages, current);
    current.isAnswerRelayed ||= messages.length > 0;
    if (!part.isLast) {
        return [{ kind: SessionActionKind.Reply, messages: [messages] }];
    }
    return finish(state, current, part, [messages], context, nowMs);
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
    if (part.position.term !== 0 && part.transactionStatus === TransactionStatus.Idle) {
        state.positions.set(current.request.group, part.position);
        messages.push(buildTokenStatus(state, context));
    }
    messages.push(buildReadyForQuery(state.status));
    state.current = undefined;
    return [
        { kind: SessionActionKind.Reply, messages },
        record(state, current, ResultCode.Ok, nowMs),
        ...startNext(state, context, nowMs),
    ];
};

/** The ParameterStatus that tells the caller its session token. */
const buildTokenStatus = (state: SessionState, context: SessionContext): Buffer => {
    const { tokenKey } = context.view.configuration.services[state.service]!;
    return buildParameterStatus("pomeloturn.token", encodeToken(state.positions, state.service, tokenKey));
};

const updateTransaction = (state: SessionState, current: CurrentRequest, status: TransactionStatus): void => {
    state.status = status;
    if (status === TransactionStatus.Idle) {
        state.transaction = undefined;
        return;
    }
    const { transactionId, group, instance, term } = current.request;
    state.transaction ??= { id: transactionId, group, instance, vm: current.vm, term, isLost: false };
};

const fail = (state: SessionState, current: CurrentRequest, part: AnswerPart, context: SessionContext, nowMs: number): SessionAction[] => {
    const code = part.resultCode as ResultCode;
    const isRetried = planRetry({
        code,
        attempt: current.request.attempt,
        isRead: isRead(current.unit),
        isIdempotent: current.request.idempotencyKey !== "",
        isInTransaction: state.transaction !== undefined,
        isAnswerRelayed: current.isAnswerRelayed,
        deadlineAtMs: current.deadlineAtMs,
    }, nowMs);
    if (isRetried) {
        return retry(state, current, context, nowMs);
    }
    return giveUp(state, current, code, context, nowMs);
};

const retry = (state: SessionState, current: CurrentRequest, context: SessionContext, nowMs: number): SessionAction[] => {
    if (current.request.mode === RequestMode.ReplicaRead) {
        current.excluded.add(current.request.instance);
    }
    replanRequest(state, current, context, nowMs);
    return [{ kind: SessionActionKind.Forward, vm: current.vm, request: current.request }];
};

const giveUp = (
    state: SessionState,
    current: CurrentRequest,
    code: ResultCode,
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    const actions: SessionAction[] = [];
    if (state.transaction !== undefined) {
        const { vm, group, instance, id } = state.transaction;
        state.transaction.isLost = true;
        state.status = TransactionStatus.Failed;
        actions.push({ kind: SessionActionKind.EndTransaction, vm, group, instance, transactionId: id });
    }
    for (const name of current.unit.definedNames) {
        state.statements.delete(name);
    }
    state.current = undefined;
    const messages = [buildErrorResponse(code, ""), buildReadyForQuery(state.status)];
    return [
        ...actions,
        { kind: SessionActionKind.Reply, messages },
        record(state, current, code, nowMs),
        ...startNext(state, context, nowMs),
    ];
};

const record = (state: SessionState, current: CurrentRequest, code: ResultCode, nowMs: number): SessionAction => ({
    kind: SessionActionKind.Record,
    service: state.service,
    rank: current.rank,
    latencyMs: nowMs - current.startedAtMs,
    code,
    isReplica: current.request.mode === RequestMode.ReplicaRead,
});

/** Removes the ParseComplete of each Parse that the caller did not send. */
const removeInjected = (bytes: Uint8Array, current: CurrentRequest): Uint8Array => {
    if (!current.injectedParses.includes(true)) {
        return bytes;
    }
    const source = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const kept: Buffer[] = [];
    let offset = 0;
    while (offset < source.length) {
        const end = offset + 1 + source.readUInt32BE(offset + 1);
        const isInjected = source[offset] === BackendType.ParseComplete && current.injectedParses.shift() === true;
        if (!isInjected) {
            kept.push(source.subarray(offset, end));
        }
        offset = end;
    }
    return Buffer.concat(kept);
};
