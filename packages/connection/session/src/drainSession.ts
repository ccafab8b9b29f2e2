import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { abandon, loseTransaction } from "./giveUp.ts";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

/** Begins the end of a session, or at the deadline ends it whatever it does. */
export const drainSession = (state: SessionState, isFinal: boolean): SessionAction[] => {
    state.isDraining = true;
    return isFinal ? endNow(state) : [];
};

/** A draining session ends between statements, outside a transaction. */
export const endWhenIdle = (state: SessionState): SessionAction[] => {
    const isIdle = state.current === undefined && state.transaction === undefined
        && state.waiting.length === 0 && state.collecting.length === 0;
    return state.isDraining && !state.isEnded && isIdle ? end(state, ResultCode.Draining) : [];
};

const endNow = (state: SessionState): SessionAction[] => {
    if (state.isEnded) {
        return [];
    }
    const { current, transaction } = state;
    const code = chooseFinalCode(state);
    const actions = current === undefined ? [] : abandon(state, current, false);
    state.current = undefined;
    state.waiting.length = 0;
    return [...actions, ...(transaction === undefined ? [] : loseTransaction(state)), ...end(state, code)];
};

const chooseFinalCode = ({ current, transaction }: SessionState): ResultCode => {
    if (transaction !== undefined) {
        return ResultCode.TransactionLost;
    }
    return current === undefined || current.retryAtMs !== undefined ? ResultCode.Draining : ResultCode.OutcomeUnknown;
};

const end = (state: SessionState, code: ResultCode): SessionAction[] => {
    state.isEnded = true;
    return [
        { kind: SessionActionKind.Reply, messages: [buildErrorResponse(code, "the proxy is shutting down", Severity.Fatal)] },
        { kind: SessionActionKind.Close },
    ];
};
