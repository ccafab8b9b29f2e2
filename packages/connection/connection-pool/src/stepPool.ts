import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { computeBackoffMs } from "./backoff.ts";
import { type ConnectionRequest, countConnections, type PoolState } from "./PoolState.ts";

/** Constants for `PoolEvent.kind`. */
export const PoolEventKind = {
    Requested: "requested",
    RequestCanceled: "requestCanceled",
    Opened: "opened",
    OpenFailed: "openFailed",
    Released: "released",
    Closed: "closed",
    /** A connection did not answer in time what was sent at `sentAtMs`. */
    AnswerOverdue: "answerOverdue",
    LimitChanged: "limitChanged",
    Tick: "tick",
} as const;

/** Input of `stepPool`. */
export type PoolEvent =
    | ({ readonly kind: typeof PoolEventKind.Requested; } & ConnectionRequest)
    /** A waiting request no longer needs a connection. */
    | { readonly kind: typeof PoolEventKind.RequestCanceled; readonly requestId: number; }
    | { readonly kind: typeof PoolEventKind.Opened; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.OpenFailed; readonly connectionId: number; }
    /** The request has ended and the connection holds no session state. */
    | { readonly kind: typeof PoolEventKind.Released; readonly connectionId: number; }
    /** The connection was closed. */
    | { readonly kind: typeof PoolEventKind.Closed; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.AnswerOverdue; readonly sentAtMs: number; }
    | { readonly kind: typeof PoolEventKind.LimitChanged; readonly connectionLimit: number; }
    | { readonly kind: typeof PoolEventKind.Tick; };

/** Constants for `PoolAction.kind`. */
export const PoolActionKind = {
    Open: "open",
    Close: "close",
    Assign: "assign",
    Fail: "fail",
} as const;

/** What the caller of `stepPool` has to do. */
export type PoolAction =
    | { readonly kind: typeof PoolActionKind.Open; readonly connectionId: number; }
    | { readonly kind: typeof PoolActionKind.Close; readonly connectionId: number; }
    | {
        readonly kind: typeof PoolActionKind.Assign;
        readonly requestId: number;
        readonly connectionId: number;
        /** Time for which the connection was idle, in milliseconds. */
        readonly idleMs: number;
    }
    | { readonly kind: typeof PoolActionKind.Fail; readonly requestId: number; readonly code: ResultCode; };

const IDLE_TIMEOUT_MS = 60_000;

type PoolHandlers = {
    readonly [Kind in PoolEvent["kind"]]: (
        state: PoolState,
        event: Extract<PoolEvent, { kind: Kind; }>,
        nowMs: number,
        random: () => number,
    ) => PoolAction[];
};

const handlers: PoolHandlers = {
    requested: (state, { requestId, isTransaction }) => requestConnection(state, { requestId, isTransaction }),
    requestCanceled: (state, { requestId }) => {
        const index = state.waiting.findIndex(each => each.requestId === requestId);
        if (index >= 0) {
            state.waiting.splice(index, 1);
        }
        return [];
    },
    opened: (state, { connectionId }, nowMs) => {
        if (!state.opening.delete(connectionId)) {
            return [];
        }
        state.failureCount = 0;
        return addIdleOrClose(state, connectionId, nowMs);
    },
    openFailed: (state, { connectionId }, nowMs, random) => {
        if (!state.opening.delete(connectionId)) {
            return [];
        }
        state.failureCount++;
        state.backoffUntilMs = nowMs + computeBackoffMs(state.failureCount, random());
        return countConnections(state) === 0 ? failWaiting(state) : [];
    },
    released: (state, { connectionId }, nowMs) => state.inUse.delete(connectionId) ? addIdleOrClose(state, connectionId, nowMs) : [],
    closed: (state, { connectionId }) => {
        state.inUse.delete(connectionId);
        removeIdle(state, connectionId);
        return [];
    },
    // Connections that have not answered since then may have gone silent with the overdue one.
    answerOverdue: (state, { sentAtMs }) => closeIdleWhile(state, ({ idleSinceMs }) => idleSinceMs < sentAtMs),
    limitChanged: (state, { connectionLimit }) => {
        state.connectionLimit = connectionLimit;
        return closeIdleWhile(state, () => countConnections(state) > connectionLimit);
    },
    tick: (state, _event, nowMs) =>
        closeIdleWhile(
            state,
            ({ idleSinceMs }) => state.idle.length > state.options.minimumIdleConnections && nowMs - idleSinceMs > IDLE_TIMEOUT_MS,
        ),
};

/**
 * Applies an event, assigns idle connections to waiting requests, oldest first, and opens connections as needed.
 *
 * @param state updated in place
 * @param nowMs monotonic time in milliseconds
 * @param random returns random numbers from 0 to 1 for the jitter of the backoff
 * @returns actions to carry out, in order
 */
export const stepPool = (state: PoolState, event: PoolEvent, nowMs: number, random: () => number): PoolAction[] => {
    const handler = handlers[event.kind] as (...values: [PoolState, PoolEvent, number, () => number]) => PoolAction[];
    const actions = handler(state, event, nowMs, random);
    return [...actions, ...assignIdle(state, nowMs), ...openMissing(state, nowMs)];
};

const requestConnection = (state: PoolState, request: ConnectionRequest): PoolAction[] => {
    if (request.isTransaction && countTransactions(state) >= getMaximumTransactions(state)) {
        return [createFailAction(request.requestId, ResultCode.ConnectionsExhausted)];
    }
    state.waiting.push(request);
    const isUnreachable = state.failureCount > 0 && countConnections(state) === 0;
    // While the instance is unreachable, only as many requests wait for the next attempt as connections may be opening.
    return isUnreachable && state.waiting.length > state.options.maximumOpeningConnections ? failWaiting(state) : [];
};

const getMaximumTransactions = ({ connectionLimit, options }: PoolState): number =>
    Math.max(1, connectionLimit - options.reservedStatementConnections);

const countTransactions = ({ inUse, waiting }: PoolState): number =>
    [...inUse.values(), ...waiting].filter(({ isTransaction }) => isTransaction).length;

const createFailAction = (requestId: number, code: ResultCode): PoolAction => ({ kind: PoolActionKind.Fail, requestId, code });

const failWaiting = (state: PoolState): PoolAction[] =>
    state.waiting.splice(0).map(({ requestId }) => createFailAction(requestId, ResultCode.BackendUnreachable));

/** Makes a connection idle, or closes it if the limit has been reduced. */
const addIdleOrClose = (state: PoolState, connectionId: number, nowMs: number): PoolAction[] => {
    if (countConnections(state) >= state.connectionLimit) {
        return [{ kind: PoolActionKind.Close, connectionId }];
    }
    state.idle.push({ connectionId, idleSinceMs: nowMs });
    return [];
};

const removeIdle = (state: PoolState, connectionId: number): void => {
    const index = state.idle.findIndex(each => each.connectionId === connectionId);
    if (index >= 0) {
        state.idle.splice(index, 1);
    }
};

/** Closes idle connections, longest idle first, while `isExcess` returns true. */
const closeIdleWhile = (state: PoolState, isExcess: (connection: PoolState["idle"][number]) => boolean): PoolAction[] => {
    const actions: PoolAction[] = [];
    while (state.idle.length > 0 && isExcess(state.idle[0]!)) {
        actions.push({ kind: PoolActionKind.Close, connectionId: state.idle.shift()!.connectionId });
    }
    return actions;
};

const assignIdle = (state: PoolState, nowMs: number): PoolAction[] => {
    const actions: PoolAction[] = [];
    while (state.waiting.length > 0 && state.idle.length > 0) {
        const request = state.waiting.shift()!;
        const { connectionId, idleSinceMs } = state.idle.pop()!;
        state.inUse.set(connectionId, request);
        actions.push({ kind: PoolActionKind.Assign, requestId: request.requestId, connectionId, idleMs: nowMs - idleSinceMs });
    }
    return actions;
};

const openMissing = (state: PoolState, nowMs: number): PoolAction[] => {
    const actions: PoolAction[] = [];
    if (nowMs < state.backoffUntilMs) {
        return actions;
    }
    const wantedCount = state.waiting.length + Math.max(0, state.options.minimumIdleConnections - state.idle.length);
    // After a failure, one attempt is enough to detect that the instance is reachable again.
    const openingLimit = state.failureCount > 0 ? 1 : state.options.maximumOpeningConnections;
    while (state.opening.size < Math.min(wantedCount, openingLimit) && countConnections(state) < state.connectionLimit) {
        const connectionId = state.nextConnectionId++;
        state.opening.add(connectionId);
        actions.push({ kind: PoolActionKind.Open, connectionId });
    }
    return actions;
};
