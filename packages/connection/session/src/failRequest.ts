import { type ResultCode } from "@pomeloturn/errors/ResultCode";
import { RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { buildErrorResponse, buildReadyForQuery } from "@pomeloturn/wire-messages/buildMessage";
import { buildRecordAction } from "./buildRecordAction.ts";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest, SessionState } from "./SessionState.ts";

/** Statement classes that may have ended the transaction, so that none is open if their outcome is unknown. */
const TRANSACTION_END_CLASSES: ReadonlySet<StatementClass> = new Set<StatementClass>([
    StatementClass.Commit,
    StatementClass.Rollback,
    StatementClass.Mixed,
]);

/**
 * Fails the current request with an error. The transaction that it belongs to is rolled back; the caller still has
 * to end it, unless the request itself may have ended it.
 *
 * @param isAnswered whether the last part of the request's answer was received
 */
export const failRequest = (
    state: SessionState,
    current: CurrentRequest,
    code: ResultCode,
    isAnswered: boolean,
    nowMs: number,
): SessionAction[] => {
    const actions = abandonRequest(state, current, isAnswered);
    if (state.transaction !== undefined) {
        actions.push(...abortTransaction(state));
        if (TRANSACTION_END_CLASSES.has(current.unit.statementClass)) {
            clearTransaction(state);
        }
        endImplicitTransaction(state, current.unit.isFlush);
    }
    for (const name of current.unit.definedNames) {
        state.preparedStatements.delete(name);
    }
    state.current = undefined;
    return [...actions, buildErrorReply(state, code, "", current.unit.isFlush), buildRecordAction(state, current, code, nowMs)];
};

/** Cancels a request without waiting for its answer. A transaction that it opened is ended when the late answer arrives. */
export const abandonRequest = (state: SessionState, current: CurrentRequest, isAnswered: boolean): SessionAction[] => {
    if (isAnswered || current.retryAtMs !== undefined) {
        return [];
    }
    const { request, vm } = current;
    const { requestId, group, instance, transactionId } = request;
    if (request.mode === RequestMode.PrimaryWrite || request.mode === RequestMode.TransactionStep) {
        state.abandonedRequests.set(requestId, { vm, group, instance, transactionId });
    }
    return [{ kind: SessionActionKind.Cancel, vm, requestId }];
};

/** Rolls back the open transaction, if any. The caller still has to end it. */
export const abortTransaction = (state: SessionState): SessionAction[] => {
    const { transaction } = state;
    if (transaction === undefined || transaction.isLost) {
        return [];
    }
    transaction.isLost = true;
    state.status = TransactionStatus.Failed;
    const { vm, group, instance, id } = transaction;
    return [{ kind: SessionActionKind.EndTransaction, vm, group, instance, transactionId: id }];
};

/** Resets the session to the state without an open transaction. */
export const clearTransaction = (state: SessionState): void => {
    state.transaction = undefined;
    state.status = TransactionStatus.Idle;
};

/** Ends an implicit transaction, which exists for the caller only until the Sync, regardless of its outcome. */
export const endImplicitTransaction = (state: SessionState, isFlush: boolean): void => {
    if (state.transaction?.isImplicit === true && !isFlush) {
        clearTransaction(state);
    }
};

/** Builds the error reply to a unit. After an error in a Flush, messages are skipped until the Sync. */
export const buildErrorReply = (state: SessionState, code: ResultCode, detail: string, isFlush: boolean): SessionAction => {
    state.isSkippingToSync ||= isFlush;
    const messages = [buildErrorResponse(code, detail)];
    if (!isFlush) {
        messages.push(buildReadyForQuery(state.status));
    }
    return { kind: SessionActionKind.Reply, messages };
};
