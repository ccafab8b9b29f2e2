import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { backoffMs } from "./backoff.ts";
import { type ConnectionOwner, countConnections, type PoolState } from "./PoolState.ts";

/** Constants for `PoolEvent.kind`. */
export const PoolEventKind = {
    Wanted: "wanted",
    Forgotten: "forgotten",
    Opened: "opened",
    OpenFailed: "openFailed",
    Returned: "returned",
    Lost: "lost",
    LimitChanged: "limitChanged",
    Tick: "tick",
} as const;

/** What happens to a pool. */
export type PoolEvent =
    | ({ readonly kind: typeof PoolEventKind.Wanted; } & ConnectionOwner)
    /** A request that waits no longer needs a connection. */
    | { readonly kind: typeof PoolEventKind.Forgotten; readonly requestId: number; }
    | { readonly kind: typeof PoolEventKind.Opened; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.OpenFailed; readonly connectionId: number; }
    /** The owner is done and the connection is as good as new. */
    | { readonly kind: typeof PoolEventKind.Returned; readonly connectionId: number; }
    /** The connection is closed. */
    | { readonly kind: typeof PoolEventKind.Lost; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.LimitChanged; readonly connectionLimit: number; }
    | { readonly kind: typeof PoolEventKind.Tick; };

/** Constants for `PoolAction.kind`. */
export const PoolActionKind = {
    Open: "open",
    Close: "close",
    Assign: "assign",
    Fail: "fail",
} as const;

/** What the holder is to do. */
export type PoolAction =
    | { readonly kind: typeof PoolActionKind.Open; readonly connectionId: number; }
    | { readonly kind: typeof PoolActionKind.Close; readonly connectionId: number; }
    | { readonly kind: typeof PoolActionKind.Assign; readonly requestId: number; readonly connectionId: number; }
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
    wanted: (state, { requestId, isTransaction }) => want(state, { requestId, isTransaction }),
    forgotten: (state, { requestId }) => {
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
        return release(state, connectionId, nowMs);
    },
    openFailed: (state, { connectionId }, nowMs, random) => {
        if (!state.opening.delete(connectionId)) {
            return [];
        }
        state.failureCount++;
        state.backoffUntilMs = nowMs + backoffMs(state.failureCount, random());
        return countConnections(state) === 0 ? failWaiting(state) : [];
    },
    returned: (state, { connectionId }, nowMs) => state.inUse.delete(connectionId) ? release(state, connectionId, nowMs) : [],
    lost: (state, { connectionId }) => {
        state.inUse.delete(connectionId);
        removeIdle(state, connectionId);
        return [];
    },
    limitChanged: (state, { connectionLimit }) => {
        state.connectionLimit = connectionLimit;
        return closeIdle(state, () => countConnections(state) > connectionLimit);
    },
    tick: (state, _event, nowMs) =>
        closeIdle(state, ({ idleSinceMs }) => state.idle.length > state.options.minimumWarm && nowMs - idleSinceMs > IDLE_TIMEOUT_MS),
};

/**
 * Applies an event, assigns idle connections to the requests that wait longest and opens missing ones.
 *
 * @param nowMs monotonic time in milliseconds; @param random seeded or system random number, 0 to 1
 */
export const stepPool = (state: PoolState, event: PoolEvent, nowMs: number, random: () => number): PoolAction[] => {
    const handler = handlers[event.kind] as (...values: [PoolState, PoolEvent, number, () => number]) => PoolAction[];
    const actions = handler(state, event, nowMs, random);
    return [...actions, ...assignIdle(state), ...openMissing(state, nowMs)];
};

const want = (state: PoolState, owner: ConnectionOwner): PoolAction[] => {
    if (owner.isTransaction && countTransactions(state) >= transactionLimit(state)) {
        return [fail(owner.requestId, ResultCode.ConnectionsExhausted)];
    }
    state.waiting.push(owner);
    const isUnreachable = state.failureCount > 0 && countConnections(state) === 0;
    // In a backoff nothing would come; without one the request waits for the next attempt.
    return isUnreachable && state.waiting.length > state.options.openingLimit ? failWaiting(state) : [];
};

const transactionLimit = ({ connectionLimit, options }: PoolState): number => Math.max(1, connectionLimit - options.statementReserve);

const countTransactions = ({ inUse, waiting }: PoolState): number =>
    [...inUse.values(), ...waiting].filter(({ isTransaction }) => isTransaction).length;

const fail = (requestId: number, code: ResultCode): PoolAction => ({ kind: PoolActionKind.Fail, requestId, code });

const failWaiting = (state: PoolState): PoolAction[] =>
    state.waiting.splice(0).map(({ requestId }) => fail(requestId, ResultCode.BackendUnreachable));

/** Makes a connection idle, or closes it when the limit has become smaller. */
const release = (state: PoolState, connectionId: number, nowMs: number): PoolAction[] => {
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

/** Closes idle connections, the longest idle first, as long as the condition holds. */
const closeIdle = (state: PoolState, isClosed: (first: PoolState["idle"][number]) => boolean): PoolAction[] => {
    const actions: PoolAction[] = [];
    while (state.idle.length > 0 && isClosed(state.idle[0]!)) {
        actions.push({ kind: PoolActionKind.Close, connectionId: state.idle.shift()!.connectionId });
    }
    return actions;
};

const assignIdle = (state: PoolState): PoolAction[] => {
    const actions: PoolAction[] = [];
    while (state.waiting.length > 0 && state.idle.length > 0) {
        const owner = state.waiting.shift()!;
        const { connectionId } = state.idle.pop()!;
        state.inUse.set(connectionId, owner);
        actions.push({ kind: PoolActionKind.Assign, requestId: owner.requestId, connectionId });
    }
    return actions;
};

const openMissing = (state: PoolState, nowMs: number): PoolAction[] => {
    const actions: PoolAction[] = [];
    if (nowMs < state.backoffUntilMs) {
        return actions;
    }
    const wanted = state.waiting.length + Math.max(0, state.options.minimumWarm - state.idle.length);
    // After a failure one attempt shows whether the instance is back.
    const openingLimit = state.failureCount > 0 ? 1 : state.options.openingLimit;
    while (state.opening.size < Math.min(wanted, openingLimit) && countConnections(state) < state.connectionLimit) {
        const connectionId = state.nextConnectionId++;
        state.opening.add(connectionId);
        actions.push({ kind: PoolActionKind.Open, connectionId });
    }
    return actions;
};
