import { type ResultCode } from "@pomeloturn/errors/ResultCode";
import { RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { buildErrorResponse, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { record } from "./recordRequest.ts";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";

/** Classes after whose loss no transaction is open: its end may have taken place. */
const ENDING_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([
    StatementClass.Commit,
    StatementClass.Rollback,
    StatementClass.Mixed,
]);

/**
 * Ends the request that is under way with a numbered error. The transaction that it belongs to is rolled back,
 * unless its end may already have taken place.
 *
 * @param isAnswered whether the request's last answer has come
 */
export const giveUp = (
    state: SessionState,
    current: CurrentRequest,
    code: ResultCode,
    isAnswered: boolean,
    nowMs: number,
): SessionAction[] => {
    const actions = abandon(state, current, isAnswered);
    if (state.transaction !== undefined) {
        actions.push(...loseTransaction(state));
        if (ENDING_CLASSES.has(current.unit.statementClass)) {
            forgetTransaction(state);
        }
        endImplicit(state, current.unit.isFlush);
    }
    for (const name of current.unit.definedNames) {
        state.statements.delete(name);
    }
    state.current = undefined;
    return [...actions, replyError(state, code, "", current.unit.isFlush), record(state, current, code, nowMs)];
};

/** Stops caring for a request. What it may have opened is ended when its late answer comes. */
export const abandon = (state: SessionState, current: CurrentRequest, isAnswered: boolean): SessionAction[] => {
    if (isAnswered || current.retryAtMs !== undefined) {
        return [];
    }
    const { request, vm } = current;
    const { requestId, group, instance, transactionId } = request;
    if (request.mode === RequestMode.PrimaryWrite || request.mode === RequestMode.TransactionStep) {
        state.abandoned.set(requestId, { vm, group, instance, transactionId });
    }
    return [{ kind: SessionActionKind.Cancel, vm, requestId }];
};

/** Rolls the open transaction back; the caller has yet to end it. */
export const loseTransaction = (state: SessionState): SessionAction[] => {
    const { transaction } = state;
    if (transaction === undefined || transaction.isLost) {
        return [];
    }
    transaction.isLost = true;
    state.status = TransactionStatus.Failed;
    const { vm, group, instance, id } = transaction;
    return [{ kind: SessionActionKind.EndTransaction, vm, group, instance, transactionId: id }];
};

/** From here on no transaction is open for the caller. */
export const forgetTransaction = (state: SessionState): void => {
    state.transaction = undefined;
    state.status = TransactionStatus.Idle;
};

/** A transaction that the session opened for a Flush is over for the caller at the Sync, whatever became of it. */
export const endImplicit = (state: SessionState, isFlush: boolean): void => {
    if (state.transaction?.isImplicit === true && !isFlush) {
        forgetTransaction(state);
    }
};

/** A numbered error for the caller. After one that ends a Flush, messages are passed over until the Sync. */
export const replyError = (state: SessionState, code: ResultCode, detail: string, isFlush: boolean): SessionAction => {
    state.isSkipping ||= isFlush;
    const messages = [buildErrorResponse(code, detail)];
    if (!isFlush) {
        messages.push(buildReadyForQuery(state.status));
    }
    return { kind: SessionActionKind.Reply, messages };
};
