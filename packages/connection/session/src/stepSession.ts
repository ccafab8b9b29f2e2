import { receiveAnswer } from "./receiveAnswer.ts";
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

const abandon = (state: SessionState): SessionAction[] => {
    const actions: SessionAction[] = [];
    const { current, transaction } = state;
    if (current !== undefined) {
        const { group, instance, transactionId, requestId } = current.request;
        actions.push({ kind: SessionActionKind.Cancel, vm: current.vm, requestId });
        actions.push({ kind: SessionActionKind.EndTransaction, vm: current.vm, group, instance, transactionId });
    }
    else if (transaction !== undefined) {
        const { vm, group, instance, id } = transaction;
        actions.push({ kind: SessionActionKind.EndTransaction, vm, group, instance, transactionId: id });
    }
    state.waiting.length = 0;
    state.current = undefined;
    state.transaction = undefined;
    return actions;
};

const handlers: EventHandlers = {
    messages: (state, event, context, nowMs) => receiveMessages(state, event.messages, context, nowMs),
    answer: (state, event, context, nowMs) => receiveAnswer(state, event.part, context, nowMs),
    callerClosed: state => abandon(state),
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
