import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { decodeToken } from "@pomeloturn/session-token/decodeToken";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { buildCommandComplete, buildErrorResponse, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";
import { buildUnit } from "./buildUnit.ts";
import { planRequest } from "./planRequest.ts";
import { readSetStatement, toAttribute } from "./readAttributes.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { RequestUnit, SessionState } from "./SessionState.ts";

const UNIT_ENDS: ReadonlySet<number> = new Set([FrontendType.Query, FrontendType.Sync, FrontendType.Flush]);

/** Collects messages into units and starts the next one when none is under way. */
export const receiveMessages = (
    state: SessionState,
    messages: readonly Buffer[],
    context: SessionContext,
    nowMs: number,
): SessionAction[] => {
    for (const message of messages) {
        if (message[0] === FrontendType.Terminate) {
            return [{ kind: SessionActionKind.Close }];
        }
        state.collecting.push(message);
        if (UNIT_ENDS.has(message[0]!)) {
            state.waiting.push(state.collecting);
            state.collecting = [];
        }
    }
    return startNext(state, context, nowMs);
};

/** Starts waiting units until one has to be forwarded. */
export const startNext = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] => {
    const actions: SessionAction[] = [];
    while (state.current === undefined && state.waiting.length > 0) {
        actions.push(...startUnit(state, state.waiting.shift()!, context, nowMs));
    }
    return actions;
};

const startUnit = (state: SessionState, messages: readonly Buffer[], context: SessionContext, nowMs: number): SessionAction[] => {
    try {
        const unit = buildUnit(messages, state.statements, text => context.classify(text));
        return answerLocally(state, unit, context) ?? forward(state, unit, context, nowMs);
    }
    catch (error) {
        if (!(error instanceof PomeloturnError)) {
            throw error;
        }
        return [refuse(state, error.code, error.message)];
    }
};

const forward = (state: SessionState, unit: RequestUnit, context: SessionContext, nowMs: number): SessionAction[] => {
    state.current = planRequest(state, unit, context, nowMs);
    const { vm, request } = state.current;
    return [{ kind: SessionActionKind.Forward, vm, request }];
};

/** An error for the caller; an open transaction counts as failed from here on. */
export const refuse = (state: SessionState, code: ResultCode, detail: string): SessionAction => {
    if (state.status === TransactionStatus.Open) {
        state.status = TransactionStatus.Failed;
    }
    const messages = [buildErrorResponse(code, detail), buildReadyForQuery(state.status)];
    return { kind: SessionActionKind.Reply, messages };
};

const reply = (state: SessionState, tag: string): SessionAction[] => [
    { kind: SessionActionKind.Reply, messages: [buildCommandComplete(tag), buildReadyForQuery(state.status)] },
];

/** Answers what needs no backend server: our own settings, and the end of a transaction that was lost. */
const answerLocally = (state: SessionState, unit: RequestUnit, context: SessionContext): SessionAction[] | undefined => {
    const isOnlySync = unit.messages.length === 1 && unit.messages[0]![0] === FrontendType.Sync;
    if (isOnlySync && state.transaction === undefined) {
        return [{ kind: SessionActionKind.Reply, messages: [buildReadyForQuery(state.status)] }];
    }
    if (state.transaction?.isLost === true) {
        return answerLost(state, unit);
    }
    if (unit.statementClass !== StatementClass.SessionSetting) {
        return undefined;
    }
    return applySetting(state, unit, context);
};

const answerLost = (state: SessionState, unit: RequestUnit): SessionAction[] => {
    if (unit.statementClass !== StatementClass.Commit && unit.statementClass !== StatementClass.Rollback) {
        return [refuse(state, ResultCode.TransactionLost, "")];
    }
    state.transaction = undefined;
    state.status = TransactionStatus.Idle;
    return reply(state, "ROLLBACK");
};

const applySetting = (state: SessionState, unit: RequestUnit, context: SessionContext): SessionAction[] => {
    const message = unit.messages[0]!;
    const setting = message[0] === FrontendType.Query ? readSetStatement(readQueryText(message)) : undefined;
    if (setting === undefined) {
        throw PomeloturnError.create(ResultCode.UnsupportedSessionSetting);
    }
    const attribute = toAttribute(setting.name);
    if (attribute !== undefined) {
        state.attributes = { ...state.attributes, [attribute]: setting.value };
        return reply(state, "SET");
    }
    if (setting.name !== "token") {
        throw PomeloturnError.create(ResultCode.UnsupportedSessionSetting, setting.name);
    }
    const { tokenKey } = context.view.configuration.services[state.service]!;
    state.positions = new Map(decodeToken(setting.value, state.service, tokenKey));
    state.isPastKnown = true;
    return reply(state, "SET");
};
