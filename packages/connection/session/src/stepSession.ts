import { TransactionStatus } from "@pomeloturn/types/Request";
import { abandon, loseTransaction } from "./giveUp.ts";
import { cancelCurrent, receiveAnswer, wake } from "./receiveAnswer.ts";
import { receiveMessages } from "./receiveMessages.ts";
import { type SessionAction, SessionActionKind, type SessionContext, type SessionEvent } from "./sessionMessages.ts";
import type { SessionState } from "./SessionState.ts";

type EventHandler<Event extends SessionEvent> = (
    state: SessionState,
    event: Event,
    context: SessionContext,
    nowMs: number,
) => SessionAction[];

type EventHandlers = { readonly [Kind in SessionEvent["kind"]]: EventHandler<Extract<SessionEvent, { kind: Kind; }>>; };

/** The caller has gone: what runs is canceled, what is open is rolled back. */
const closeSession = (state: SessionState): SessionAction[] => {
    const { current } = state;
    const actions = current === undefined ? [] : abandon(state, current, false);
    actions.push(...loseTransaction(state));
    state.isClosed = true;
    state.collecting = [];
    state.waiting.length = 0;
    state.current = undefined;
    state.transaction = undefined;
    state.status = TransactionStatus.Idle;
    if (state.abandoned.size === 0) {
        actions.push({ kind: SessionActionKind.Finished });
    }
    return actions;
};

const handlers: EventHandlers = {
    messages: (state, event, context, nowMs) => receiveMessages(state, event.messages, context, nowMs),
    answer: (state, event, context, nowMs) => receiveAnswer(state, event.part, context, nowMs),
    callerClosed: state => closeSession(state),
    woken: (state, _event, context, nowMs) => wake(state, context, nowMs),
    cancelRequested: (state, _event, context, nowMs) => cancelCurrent(state, context, nowMs),
};

/**
 * Applies an event to a session.
 *
 * @param nowMs monotonic time in milliseconds
 * @returns what the shell is to do, in order
 */
export const stepSession = (state: SessionState, event: SessionEvent, context: SessionContext, nowMs: number): SessionAction[] => {
    const handler = handlers[event.kind] as EventHandler<SessionEvent>;
    return handler(state, event, context, nowMs);
};
