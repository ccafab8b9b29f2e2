import { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { computeHolderConnectionLimit } from "@pomeloturn/connection-pool/computeHolderConnectionLimit";
import { createPool, type PoolState } from "@pomeloturn/connection-pool/PoolState";
import { type PoolAction, type PoolEvent, PoolEventKind, stepPool } from "@pomeloturn/connection-pool/stepPool";
import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";
import { resetConnection } from "./resetConnection.ts";
import { sendCancel } from "./sendCancel.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const RESET_TIMEOUT_MS = 1_000;
/** Idle connections beyond one for each slot. */
const SPARE_CONNECTIONS = 1;

/** What the connections of an instance work with. */
export interface ConnectionsOptions {
    readonly environment: InstanceEnvironment;
    onAssigned(requestId: number, connectionId: number): void;
    onFailed(requestId: number, code: ResultCode): void;
    /** Called when a connection that no request runs on is closed by the other side. */
    onIdleLost(connectionId: number): void;
}

type ActionHandlers = { readonly [Kind in PoolAction["kind"]]: (action: Extract<PoolAction, { kind: Kind; }>) => void; };

/** The connections to one instance: carries out what `stepPool` decides. */
export class HolderConnections {
    private readonly environment: InstanceEnvironment;
    private readonly pool: PoolState;
    private readonly connections = new Map<number, BackendConnection>();
    /** Connections that a cancel may still hit: they are not used again. */
    private readonly canceled = new Set<number>();
    private isClosed = false;
    private readonly handlers: ActionHandlers;

    private constructor(private readonly options: ConnectionsOptions) {
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
            assign: ({ requestId, connectionId }) => options.onAssigned(requestId, connectionId),
            fail: ({ requestId, code }) => options.onFailed(requestId, code),
        };
    }

    static create(options: ConnectionsOptions): HolderConnections {
        return new HolderConnections(options);
    }

    get(connectionId: number): BackendConnection | undefined {
        return this.connections.get(connectionId);
    }

    /** Asks for a connection; `onAssigned` or `onFailed` answers. */
    want(requestId: number, isTransaction: boolean): void {
        this.step({ kind: PoolEventKind.Requested, requestId, isTransaction });
    }

    /** Takes back a connection after an answer that was read to its end. */
    giveBack(connectionId: number): void {
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

    /** Closes a connection whose state is not known or not wanted. */
    discard(connectionId: number): void {
        const connection = this.connections.get(connectionId);
        this.connections.delete(connectionId);
        this.canceled.delete(connectionId);
        connection?.close();
        this.step({ kind: PoolEventKind.Closed, connectionId });
    }

    /** Asks the backend server to cancel what runs on a connection. */
    cancel(connectionId: number): void {
        const key = this.connections.get(connectionId)?.cancelKey;
        if (key !== undefined) {
            this.canceled.add(connectionId);
            const { host, port } = this.environment.instanceConfiguration;
            sendCancel(host, port, key);
        }
    }

    /** Opens missing warm connections and closes idle ones. Stops opening when `isHeld` is false. */
    tick(isHeld: boolean): void {
        const wanted = isHeld ? computeHolderConnectionLimit(this.environment.instanceConfiguration.connections) : this.pool.inUse.size;
        if (wanted !== this.pool.connectionLimit) {
            this.step({ kind: PoolEventKind.LimitChanged, connectionLimit: wanted });
        }
        this.step({ kind: PoolEventKind.Tick });
    }

    close(): void {
        this.isClosed = true;
        for (const connection of this.connections.values()) {
            connection.close();
        }
    }

    /** Opens a connection that the pool does not count. */
    openConnection(): Promise<BackendConnection> {
        const { groupConfiguration, instanceConfiguration, vm } = this.environment;
        const { user, password, database } = groupConfiguration;
        const { host, port } = instanceConfiguration;
        return BackendConnection.open({ host, port, user, password, database, connectTimeoutMs: CONNECT_TIMEOUT_MS, applicationName: vm });
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
                    this.options.onIdleLost(connectionId);
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
