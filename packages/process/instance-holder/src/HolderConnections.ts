import { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { computeHolderConnectionLimit } from "@pomeloturn/connection-pool/computeHolderConnectionLimit";
import { createPool, type PoolState } from "@pomeloturn/connection-pool/PoolState";
import { type PoolAction, type PoolEvent, PoolEventKind, stepPool } from "@pomeloturn/connection-pool/stepPool";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";
import { resetConnection, verifyConnection } from "./resetConnection.ts";
import { sendCancel } from "./sendCancel.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const RESET_TIMEOUT_MS = 1_000;
/** A connection that was idle for this long is checked before a request is sent on it, as it may have gone silent. */
const VERIFY_IDLE_MS = 2_000;
const VERIFY_TIMEOUT_MS = 500;
/** Idle connections beyond one for each slot. */
const SPARE_CONNECTIONS = 1;

/** Environment and callbacks of `HolderConnections`. */
export interface HolderConnectionsOptions {
    readonly environment: InstanceEnvironment;
    /** Called when a request gets a connection. */
    onAssigned(requestId: number, connectionId: number): void;
    /** Called when a request cannot get a connection. */
    onFailed(requestId: number, code: ResultCode): void;
    /** Called when the backend server closes a connection on which no request runs. */
    onIdleClosed(connectionId: number): void;
}

type ActionHandlers = { readonly [Kind in PoolAction["kind"]]: (action: Extract<PoolAction, { kind: Kind; }>) => void; };

/** Connections to one instance. Executes the actions that `stepPool` decides on. */
export class HolderConnections {
    private readonly environment: InstanceEnvironment;
    private readonly pool: PoolState;
    private readonly connections = new Map<number, BackendConnection>();
    /** Connections for which a cancel request was sent. It may still take effect later, so they are not reused. */
    private readonly canceled = new Set<number>();
    private isClosed = false;
    private readonly handlers: ActionHandlers;

    private constructor(private readonly options: HolderConnectionsOptions) {
        this.environment = options.environment;
        const { slots, connections } = this.environment.instanceConfiguration;
        const limits = {
            minimumIdleConnections: slots + SPARE_CONNECTIONS,
            maximumOpeningConnections: slots,
            reservedStatementConnections: slots + SPARE_CONNECTIONS,
        };
        this.pool = createPool(limits, computeHolderConnectionLimit(connections));
        this.handlers = {
            open: ({ connectionId }) => void this.open(connectionId),
            close: ({ connectionId }) => this.discard(connectionId),
            assign: ({ requestId, connectionId, idleMs }) => this.assign(requestId, connectionId, idleMs),
            fail: ({ requestId, code }) => options.onFailed(requestId, code),
        };
    }

    static create(options: HolderConnectionsOptions): HolderConnections {
        return new HolderConnections(options);
    }

    get(connectionId: number): BackendConnection | undefined {
        return this.connections.get(connectionId);
    }

    /** Requests a connection. The result comes through `onAssigned` or `onFailed`. */
    acquire(requestId: number, isTransaction: boolean): void {
        this.step({ kind: PoolEventKind.Requested, requestId, isTransaction });
    }

    /** Returns a connection whose answer has been read completely. Resets it first when it may hold session state. */
    release(connectionId: number): void {
        const connection = this.connections.get(connectionId);
        if (connection === undefined || this.canceled.has(connectionId)) {
            this.discard(connectionId);
        }
        else if (connection.isTainted) {
            const onDone = (isClean: boolean): void =>
                isClean ? this.step({ kind: PoolEventKind.Released, connectionId }) : this.discard(connectionId);
            resetConnection(connection, RESET_TIMEOUT_MS, onDone);
        }
        else {
            this.step({ kind: PoolEventKind.Released, connectionId });
        }
    }

    /** Closes a connection whose state is unknown or must not be reused. */
    discard(connectionId: number): void {
        const connection = this.connections.get(connectionId);
        this.connections.delete(connectionId);
        this.canceled.delete(connectionId);
        connection?.close();
        this.step({ kind: PoolEventKind.Closed, connectionId });
    }

    /** Asks the backend server to cancel the statement that runs on a connection. */
    cancel(connectionId: number): void {
        const key = this.connections.get(connectionId)?.cancelKey;
        if (key !== undefined) {
            this.canceled.add(connectionId);
            const { host, port } = this.environment.instanceConfiguration;
            sendCancel(host, port, key);
        }
    }

    /** Closes the idle connections that have not answered since a request was sent whose answer is overdue. */
    handleOverdueAnswer(sentAtMs: number): void {
        this.step({ kind: PoolEventKind.AnswerOverdue, sentAtMs });
    }

    /** Opens idle connections up to the minimum and closes surplus ones. Opens none when this VM does not hold the instance. */
    tick(isHolder: boolean): void {
        const connectionLimit = isHolder
            ? computeHolderConnectionLimit(this.environment.instanceConfiguration.connections)
            : this.pool.inUse.size;
        if (connectionLimit !== this.pool.connectionLimit) {
            this.step({ kind: PoolEventKind.LimitChanged, connectionLimit });
        }
        this.step({ kind: PoolEventKind.Tick });
    }

    close(): void {
        this.isClosed = true;
        for (const connection of this.connections.values()) {
            connection.close();
        }
    }

    /** Opens a connection outside the pool and its limit. @throws PomeloturnError when the instance cannot be reached */
    openConnection(): Promise<BackendConnection> {
        const { groupConfiguration, instanceConfiguration, vm } = this.environment;
        const { user, password, database } = groupConfiguration;
        const { host, port } = instanceConfiguration;
        return BackendConnection.open({ host, port, user, password, database, connectTimeoutMs: CONNECT_TIMEOUT_MS, applicationName: vm });
    }

    private assign(requestId: number, connectionId: number, idleMs: number): void {
        const connection = this.connections.get(connectionId);
        if (idleMs < VERIFY_IDLE_MS || connection === undefined) {
            this.options.onAssigned(requestId, connectionId);
            return;
        }
        const isTransaction = this.pool.inUse.get(connectionId)!.isTransaction;
        verifyConnection(connection, VERIFY_TIMEOUT_MS, isAlive => {
            if (isAlive) {
                this.options.onAssigned(requestId, connectionId);
            }
            else if (this.isClosed) {
                this.options.onFailed(requestId, ResultCode.BackendUnreachable);
            }
            else {
                this.discard(connectionId);
                this.acquire(requestId, isTransaction);
            }
        });
    }

    private async open(connectionId: number): Promise<void> {
        try {
            const connection = await this.openConnection();
            if (this.isClosed) {
                connection.close();
                return;
            }
            connection.onIdleClosed = () => {
                if (this.connections.has(connectionId)) {
                    this.discard(connectionId);
                    this.options.onIdleClosed(connectionId);
                }
            };
            this.connections.set(connectionId, connection);
            this.step({ kind: PoolEventKind.Opened, connectionId });
        }
        catch {
            this.step({ kind: PoolEventKind.OpenFailed, connectionId });
        }
    }

    private step(event: PoolEvent): void {
        if (this.isClosed) {
            return;
        }
        for (const action of stepPool(this.pool, event, this.environment.nowMs(), () => this.environment.random())) {
            const handler = this.handlers[action.kind] as (action: PoolAction) => void;
            handler(action);
        }
    }
}
