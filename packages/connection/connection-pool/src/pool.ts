import { ResultCode } from "@pomeloturn/errors/ResultCode";

/** Connections of one instance. */
export interface PoolState {
    readonly connectionLimit: number;
    readonly idle: number[];
    readonly inUse: Set<number>;
    readonly opening: Set<number>;
    /** Requests that wait for a connection, oldest first. */
    readonly waiting: number[];
    nextConnectionId: number;
}

/** Constants for `PoolEvent.kind`. */
export const PoolEventKind = {
    Wanted: "wanted",
    Opened: "opened",
    OpenFailed: "openFailed",
    Returned: "returned",
    Lost: "lost",
} as const;

export type PoolEvent =
    | { readonly kind: typeof PoolEventKind.Wanted; readonly requestId: number; }
    | { readonly kind: typeof PoolEventKind.Opened; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.OpenFailed; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.Returned; readonly connectionId: number; }
    | { readonly kind: typeof PoolEventKind.Lost; readonly connectionId: number; };

/** Constants for `PoolAction.kind`. */
export const PoolActionKind = {
    Open: "open",
    Assign: "assign",
    Fail: "fail",
} as const;

export type PoolAction =
    | { readonly kind: typeof PoolActionKind.Open; readonly connectionId: number; }
    | { readonly kind: typeof PoolActionKind.Assign; readonly requestId: number; readonly connectionId: number; }
    | { readonly kind: typeof PoolActionKind.Fail; readonly requestId: number; readonly code: ResultCode; };

export const createPool = (connectionLimit: number): PoolState => ({
    connectionLimit,
    idle: [],
    inUse: new Set(),
    opening: new Set(),
    waiting: [],
    nextConnectionId: 1,
});

type PoolHandler = (state: PoolState, event: PoolEvent) => void;

const handlers: Readonly<Record<PoolEvent["kind"], PoolHandler>> = {
    wanted: (state, event) => {
        state.waiting.push((event as Extract<PoolEvent, { kind: "wanted"; }>).requestId);
    },
    opened: (state, event) => {
        const { connectionId } = event as Extract<PoolEvent, { kind: "opened"; }>;
        state.opening.delete(connectionId);
        state.idle.push(connectionId);
    },
    openFailed: (state, event) => {
        state.opening.delete((event as Extract<PoolEvent, { kind: "openFailed"; }>).connectionId);
    },
    returned: (state, event) => {
        const { connectionId } = event as Extract<PoolEvent, { kind: "returned"; }>;
        if (state.inUse.delete(connectionId)) {
            state.idle.push(connectionId);
        }
    },
    lost: (state, event) => {
        const { connectionId } = event as Extract<PoolEvent, { kind: "lost"; }>;
        state.inUse.delete(connectionId);
        const index = state.idle.indexOf(connectionId);
        if (index >= 0) {
            state.idle.splice(index, 1);
        }
    },
};

/** Applies an event, assigns idle connections to waiting requests and opens missing ones. */
export const stepPool = (state: PoolState, event: PoolEvent): PoolAction[] => {
    handlers[event.kind](state, event);
    if (event.kind === PoolEventKind.OpenFailed && state.opening.size + state.inUse.size + state.idle.length === 0) {
        return failWaiting(state);
    }
    return [...assignIdle(state), ...openMissing(state)];
};

const failWaiting = (state: PoolState): PoolAction[] =>
    state.waiting.splice(0).map(requestId => ({ kind: PoolActionKind.Fail, requestId, code: ResultCode.BackendUnreachable }));

const assignIdle = (state: PoolState): PoolAction[] => {
    const actions: PoolAction[] = [];
    while (state.waiting.length > 0 && state.idle.length > 0) {
        const requestId = state.waiting.shift()!;
        const connectionId = state.idle.pop()!;
        state.inUse.add(connectionId);
        actions.push({ kind: PoolActionKind.Assign, requestId, connectionId });
    }
    return actions;
};

const openMissing = (state: PoolState): PoolAction[] => {
    const actions: PoolAction[] = [];
    const isBelowLimit = (): boolean => state.idle.length + state.inUse.size + state.opening.size < state.connectionLimit;
    while (state.opening.size < state.waiting.length && isBelowLimit()) {
        const connectionId = state.nextConnectionId++;
        state.opening.add(connectionId);
        actions.push({ kind: PoolActionKind.Open, connectionId });
    }
    return actions;
};
