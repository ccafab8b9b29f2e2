/** Connections of one instance as its holder sees them. */

/** Limits of a pool. */
export interface PoolOptions {
    /** Idle connections that are kept open, as a new one takes 10 to 30 ms. */
    readonly minimumWarm: number;
    /** Connections that may be opened at the same time. */
    readonly openingLimit: number;
    /** Connections that are never given to transactions, so that single statements can always run. */
    readonly statementReserve: number;
}

/** A connection that no request uses. */
export interface IdleConnection {
    readonly connectionId: number;
    readonly idleSinceMs: number;
}

/** What a connection is used for. */
export interface ConnectionOwner {
    readonly requestId: number;
    /** Whether the connection may stay with its transaction after the request. */
    readonly isTransaction: boolean;
}

/** Connections of one instance. */
export interface PoolState {
    readonly options: PoolOptions;
    /** Connections that may be open or opening, all together. */
    connectionLimit: number;
    /** Last used last. */
    readonly idle: IdleConnection[];
    readonly inUse: Map<number, ConnectionOwner>;
    readonly opening: Set<number>;
    /** Requests that wait for a connection, oldest first. */
    readonly waiting: ConnectionOwner[];
    nextConnectionId: number;
    /** Failed attempts to open since the last success. */
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

/** Connections that are open or opening. */
export const countConnections = ({ idle, inUse, opening }: PoolState): number => idle.length + inUse.size + opening.size;
