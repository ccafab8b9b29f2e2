import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { abandonRequest, abortTransaction } from "./failRequest.ts";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

/** Starts draining a session. @param isFinal whether to end it now, even if a request or transaction is open */
export const drainSession = (state: SessionState, isFinal: boolean): SessionAction[] => {
    state.isDraining = true;
    return isFinal ? endNow(state) : [];
};

/** Ends a draining session if it has no request, no transaction and no unprocessed messages. */
export const endWhenIdle = (state: SessionState): SessionAction[] => {
    const isIdle = state.current === undefined && state.transaction === undefined
        && state.queuedUnits.length === 0 && state.incompleteUnit.length === 0;
    return state.isDraining && !state.isEnded && isIdle ? endSession(state, ResultCode.Draining) : [];
};

const endNow = (state: SessionState): SessionAction[] => {
    if (state.isEnded) {
        return [];
    }
    const { current, transaction } = state;
    const code = chooseFinalCode(state);
    const actions = current === undefined ? [] : abandonRequest(state, current, false);
    state.current = undefined;
    state.queuedUnits.length = 0;
    return [...actions, ...(transaction === undefined ? [] : abortTransaction(state)), ...endSession(state, code)];
};

const chooseFinalCode = ({ current, transaction }: SessionState): ResultCode => {
    if (transaction !== undefined) {
        return ResultCode.TransactionLost;
    }
    return current === undefined || current.retryAtMs !== undefined ? ResultCode.Draining : ResultCode.OutcomeUnknown;
};

const endSession = (state: SessionState, code: ResultCode): SessionAction[] => {
    state.isEnded = true;
    return [
        { kind: SessionActionKind.Reply, messages: [buildErrorResponse(code, "the proxy is shutting down", Severity.Fatal)] },
        { kind: SessionActionKind.Close },
    ];
};
