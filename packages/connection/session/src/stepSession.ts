import { TransactionStatus } from "@pomeloturn/types/Request";
import { drainSession, endWhenIdle } from "./drainSession.ts";
import { abandonRequest, abortTransaction } from "./failRequest.ts";
import { cancelCurrentRequest, handleTimer, receiveAnswer } from "./receiveAnswer.ts";
import { receiveMessages } from "./receiveMessages.ts";
import { type SessionAction, SessionActionKind, type SessionContext, type SessionEvent, SessionEventKind } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

type EventHandler<Event extends SessionEvent> = (
    state: SessionState,
    event: Event,
    context: SessionContext,
    nowMs: number,
) => SessionAction[];

type EventHandlers = { readonly [Kind in SessionEvent["kind"]]: EventHandler<Extract<SessionEvent, { kind: Kind; }>>; };

/** Handles the end of the caller connection: cancels the current request and rolls back an open transaction. */
const closeSession = (state: SessionState): SessionAction[] => {
    const { current } = state;
    const actions = current === undefined ? [] : abandonRequest(state, current, false);
    actions.push(...abortTransaction(state));
    state.isClosed = true;
    state.incompleteUnit = [];
    state.queuedUnits.length = 0;
    state.current = undefined;
    state.transaction = undefined;
    state.status = TransactionStatus.Idle;
    if (state.abandonedRequests.size === 0) {
        actions.push({ kind: SessionActionKind.Finished });
    }
    return actions;
};

const handlers: EventHandlers = {
    messages: (state, event, context, nowMs) => receiveMessages(state, event.messages, context, nowMs),
    answer: (state, event, context, nowMs) => receiveAnswer(state, event.part, context, nowMs),
    callerClosed: state => closeSession(state),
    timerFired: (state, _event, context, nowMs) => handleTimer(state, context, nowMs),
    cancelRequested: (state, _event, context, nowMs) => cancelCurrentRequest(state, context, nowMs),
    drain: (state, event) => drainSession(state, event.isFinal),
};

/**
 * Applies an event to a session.
 *
 * @param state updated in place
 * @param nowMs monotonic time in milliseconds
 * @returns actions to carry out, in order
 */
export const stepSession = (state: SessionState, event: SessionEvent, context: SessionContext, nowMs: number): SessionAction[] => {
    const handler = handlers[event.kind] as EventHandler<SessionEvent>;
    if (state.isEnded && event.kind === SessionEventKind.Messages) {
        return [];
    }
    return [...handler(state, event, context, nowMs), ...endWhenIdle(state)];
};
