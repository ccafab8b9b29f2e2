/** Configuration of a pool. */
export interface PoolOptions {
    /** Number of idle connections to keep open, as opening one takes 10 to 30 ms. */
    readonly minimumIdleConnections: number;
    /** Maximum number of connections that are being opened at the same time. */
    readonly maximumOpeningConnections: number;
    /** Number of connections that transactions cannot use, so that single statements can always run. */
    readonly reservedStatementConnections: number;
}

/** A connection that no request uses. */
export interface IdleConnection {
    readonly connectionId: number;
    readonly idleSinceMs: number;
}

/** A request that waits for a connection or uses one. */
export interface ConnectionRequest {
    readonly requestId: number;
    /** Whether the connection may remain assigned to a transaction after the request. */
    readonly isTransaction: boolean;
}

/** Pool of the connections from a holder to its instance. */
export interface PoolState {
    readonly options: PoolOptions;
    /** Maximum number of connections that are open or being opened. */
    connectionLimit: number;
    /** Most recently used last. */
    readonly idle: IdleConnection[];
    /** Request by the id of the connection that it uses. */
    readonly inUse: Map<number, ConnectionRequest>;
    /** Ids of the connections that are being opened. */
    readonly opening: Set<number>;
    /** Requests waiting for a connection, oldest first. */
    readonly waiting: ConnectionRequest[];
    nextConnectionId: number;
    /** Consecutive failures to open a connection. */
    failureCount: number;
    /** Monotonic time before which no connection is opened, in milliseconds. */
    backoffUntilMs: number;
}

export const createPool = (options: PoolOptions, connectionLimit: number): PoolState => ({
    options,
    connectionLimit,
    idle: [],
    inUse: new Map(),
    opening: new Set(),
    waiting: [],
    nextConnectionId: 1,
    failureCount: 0,
    backoffUntilMs: 0,
});

/** Number of connections that are open or being opened. */
export const countConnections = ({ idle, inUse, opening }: PoolState): number => idle.length + inUse.size + opening.size;
