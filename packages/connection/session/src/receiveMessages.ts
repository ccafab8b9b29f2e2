import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { depositRequest } from "@pomeloturn/plan-retry/retryBudget";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { answerCommand } from "./answerCommand.ts";
import { applySetting } from "./applySetting.ts";
import { buildTokenStatus } from "./buildTokenStatus.ts";
import { buildUnit } from "./buildUnit.ts";
import { abortTransaction, buildErrorReply, clearTransaction, endImplicitTransaction } from "./failRequest.ts";
import { planRequest } from "./planRequest.ts";
import { type SessionAction, SessionActionKind, type SessionContext } from "./sessionMessages.ts";
import type { RequestUnit, SessionState } from "./SessionState.ts";
import { setDeadlineTimer } from "./setDeadlineTimer.ts";

const UNIT_END_TYPES: ReadonlySet<number> = new Set([FrontendType.Query, FrontendType.Sync, FrontendType.Flush]);

/** Collects messages into units and starts the next unit if no request is being processed. */
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
        state.incompleteUnit.push(message);
        if (UNIT_END_TYPES.has(message[0]!)) {
            state.queuedUnits.push(state.incompleteUnit);
            state.incompleteUnit = [];
        }
    }
    return startQueuedUnits(state, context, nowMs);
};

/** Starts queued units until one has to be forwarded. */
export const startQueuedUnits = (state: SessionState, context: SessionContext, nowMs: number): SessionAction[] => {
    const actions: SessionAction[] = [];
    while (state.current === undefined && state.queuedUnits.length > 0) {
        actions.push(...startUnit(state, state.queuedUnits.shift()!, context, nowMs));
    }
    return actions;
};

const startUnit = (state: SessionState, messages: readonly Buffer[], context: SessionContext, nowMs: number): SessionAction[] => {
    const last = messages.at(-1)!;
    if (state.isSkippingToSync) {
        if (last[0] !== FrontendType.Sync) {
            return [];
        }
        state.isSkippingToSync = false;
        return startUnit(state, [last], context, nowMs);
    }
    try {
        const unit = buildUnit(messages, state.preparedStatements, text => context.classify(text));
        return answerWithoutBackend(state, unit, context) ?? forward(state, unit, context, nowMs);
    }
    catch (error) {
        if (!(error instanceof PomeloturnError)) {
            throw error;
        }
        return rejectUnit(state, error.code, error.detail, last[0] === FrontendType.Flush, context);
    }
};

const forward = (state: SessionState, unit: RequestUnit, context: SessionContext, nowMs: number): SessionAction[] => {
    state.current = planRequest(state, unit, context, nowMs);
    depositRequest(context.retryBudget(state.service));
    const { vm, request } = state.current;
    return [{ kind: SessionActionKind.Forward, vm, request }, setDeadlineTimer(state.current)];
};

/** Answers a unit with an error and rolls back an open transaction, as a database fails the transaction on an error. */
const rejectUnit = (state: SessionState, code: ResultCode, detail: string, isFlush: boolean, context: SessionContext): SessionAction[] => {
    const actions = abortTransaction(state);
    endImplicitTransaction(state, isFlush);
    if (code === ResultCode.WriteLost) {
        actions.push({ kind: SessionActionKind.Reply, messages: [buildTokenStatus(state, context)] });
    }
    return [...actions, buildErrorReply(state, code, detail, isFlush)];
};

/** Answers a unit that needs no backend server: settings, a lone Sync, and any unit in a lost transaction. */
const answerWithoutBackend = (state: SessionState, unit: RequestUnit, context: SessionContext): SessionAction[] | undefined => {
    const isOnlySync = unit.messages.length === 1 && unit.messages[0]![0] === FrontendType.Sync;
    if (state.transaction?.isLost === true) {
        return answerInLostTransaction(state, unit, isOnlySync);
    }
    if (isOnlySync && state.transaction?.isImplicit !== true) {
        const messages = unit.isFlush ? [] : [buildReadyForQuery(state.status)];
        return [{ kind: SessionActionKind.Reply, messages }];
    }
    return unit.statementClass === StatementClass.SessionSetting ? applySetting(state, unit, context) : undefined;
};

const answerInLostTransaction = (state: SessionState, unit: RequestUnit, isOnlySync: boolean): SessionAction[] => {
    const isEnd = unit.statementClass === StatementClass.Commit || unit.statementClass === StatementClass.Rollback;
    endImplicitTransaction(state, unit.isFlush);
    if (isOnlySync && !unit.isFlush) {
        return [{ kind: SessionActionKind.Reply, messages: [buildReadyForQuery(state.status)] }];
    }
    if (!isEnd) {
        return [buildErrorReply(state, ResultCode.TransactionLost, "", unit.isFlush)];
    }
    clearTransaction(state);
    return [{ kind: SessionActionKind.Reply, messages: answerCommand(state, unit, "ROLLBACK") }];
};
