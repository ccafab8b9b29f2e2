import { type ConnectionUse, createConnectionUse, recordUse, recordUseStart } from "@pomeloturn/admit-waiting/ConnectionUse";
import { estimateWaitMs } from "@pomeloturn/admit-waiting/decideAdmission";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { type ConnectionState, createConnectionState } from "@pomeloturn/statement-session/ConnectionState";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { ConnectionLease } from "./ConnectionLease.ts";
import {
    countFree,
    countToOpen,
    countUsable,
    createPoolState,
    isAssignable,
    isIdleTooLong,
    type PoolState,
    recordExhausted,
    recordOpened,
    recordOpenFailure,
    restoreLimits,
    updateLimits,
} from "./PoolState.ts";

/** Time limit for connecting to an instance and receiving its reply to the start-up message. */
const OPEN_TIMEOUT_MS = 450;

/** Clock, connection factory and callbacks of a pool. */
export interface PoolPorts {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    readonly open: (onClosed: (reason: string, isRemote: boolean) => void) => CommandChannel;
    /** Called for each connection that could not be opened, except when the instance has no connections left. */
    readonly onOpenFailed: (reply: InstanceReply) => void;
    /** Called for each open connection that the instance or the network closed. */
    readonly onLost: (reason: string) => void;
}

interface PooledConnection {
    readonly connection: CommandChannel;
    readonly connectionState: ConnectionState;
    lastUsedAtMs: number;
    leasedAtMs: number;
    /** Rank of the request that uses the connection. */
    rank: number;
    isBusy: boolean;
}

interface Waiter {
    readonly rank: number;
    readonly resolve: (lease: ConnectionLease | undefined) => void;
}

/** Pool of the connections from this VM to one instance. */
export class InstancePool {
    private readonly state: PoolState = createPoolState();
    private readonly use: ConnectionUse = createConnectionUse();
    private readonly idle: PooledConnection[] = [];
    private readonly all = new Set<PooledConnection>();
    /** Most urgent rank first, then oldest first. */
    private readonly waiters: Waiter[] = [];
    private isClosed = false;

    private constructor(private readonly ports: PoolPorts) {}

    static create(ports: PoolPorts): InstancePool {
        return new InstancePool(ports);
    }

    /** Number of requests that wait for a connection or use one. */
    get requestCount(): number {
        return this.state.busyCount + this.waiters.length;
    }

    /** Number of open connections. */
    get openCount(): number {
        return this.state.busyCount + this.state.idleCount;
    }

    /** Whether no connection is open and the last attempt to open one failed. */
    get isUnreachable(): boolean {
        return this.state.failureCount > 0 && this.openCount === 0;
    }

    /** Returns the expected wait of a request of this rank for a connection, in milliseconds; see `estimateWaitMs`. */
    estimateWaitMs(rank: number): number {
        const { state, use } = this;
        const aheadCount = this.waiters.filter(waiter => waiter.rank <= rank).length;
        const queue = { use, aheadCount, connectionCount: countUsable(state, rank), freeCount: countFree(state, rank) };
        return estimateWaitMs(queue, rank, this.ports.nowMs());
    }

    /** Updates the limits; see `updateLimits`. */
    setLimit(connectionLimit: number, vmCount: number): void {
        updateLimits(this.state, connectionLimit, vmCount);
    }

    /**
     * Leases a connection, waiting for one if necessary.
     *
     * @param rank 0 for the most urgent; lower ranks are served first
     * @param waitMs maximum time to wait
     * @returns undefined if the pool is closed, the instance is unreachable, or no connection became available in time
     */
    acquire(rank: number, waitMs: number): Promise<ConnectionLease | undefined> {
        if (this.isClosed || (this.openCount === 0 && this.ports.nowMs() < this.state.backoffUntilMs)) {
            return Promise.resolve(undefined);
        }
        const idleConnection = isAssignable(this.state, rank) ? this.idle.pop() : undefined;
        if (idleConnection !== undefined) {
            return Promise.resolve(this.createLease(idleConnection, rank));
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.cancelWaiter(waiter), waitMs);
            const waiter = {
                rank,
                resolve: (lease: ConnectionLease | undefined): void => {
                    clearTimeout(timer);
                    resolve(lease);
                },
            };
            this.enqueue(waiter);
            this.openNeeded();
        });
    }

    /** Opens a first connection in advance, so that the first request does not have to wait for it. */
    warmUp(): void {
        if (this.state.coreConnectionCount > 0 && this.openCount + this.state.openingCount === 0 && !this.isClosed) {
            this.openConnection();
        }
    }

    /** Restores the limit, closes idle connections and opens missing ones. Must be called regularly. */
    tick(): void {
        const nowMs = this.ports.nowMs();
        restoreLimits(this.state, nowMs);
        for (
            let oldest = this.idle[0];
            oldest !== undefined && isIdleTooLong(this.state, nowMs - oldest.lastUsedAtMs);
            oldest = this.idle[0]
        ) {
            oldest.connection.close("the idle timeout of the connection has passed");
        }
        this.openNeeded();
    }

    /** Closes all connections. Waiting requests get none. */
    close(reason: string): void {
        this.isClosed = true;
        this.failWaiters();
        [...this.all].forEach(({ connection }) => connection.close(reason));
    }

    /** Closes idle connections at once, and those in use when they are released. Waiting requests get none. */
    retire(reason: string): void {
        this.isClosed = true;
        this.failWaiters();
        [...this.idle].forEach(({ connection }) => connection.close(reason));
    }

    private enqueue(waiter: Waiter): void {
        const index = this.waiters.findIndex(({ rank }) => rank > waiter.rank);
        this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
        this.state.waitingCount = this.waiters.length;
    }

    private cancelWaiter(waiter: Waiter): void {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) {
            this.waiters.splice(index, 1);
            this.state.waitingCount = this.waiters.length;
            waiter.resolve(undefined);
        }
    }

    private failWaiters(): void {
        this.state.waitingCount = 0;
        this.waiters.splice(0).forEach(({ resolve }) => resolve(undefined));
    }

    private openNeeded(): void {
        for (let count = this.isClosed ? 0 : countToOpen(this.state, this.ports.nowMs()); count > 0; count--) {
            this.openConnection();
        }
    }

    private openConnection(): void {
        const startedAtMs = this.ports.nowMs();
        this.state.openingCount++;
        const connection = this.ports.open((reason, isRemote) => this.handleClosed(pooled, reason, isRemote));
        const pooled: PooledConnection = {
            connection,
            connectionState: createConnectionState(),
            lastUsedAtMs: startedAtMs,
            leasedAtMs: startedAtMs,
            rank: 0,
            isBusy: false,
        };
        const timer = setTimeout(
            () => connection.close(`the instance did not answer the start-up message within ${OPEN_TIMEOUT_MS} ms`),
            OPEN_TIMEOUT_MS,
        );
        void connection.startupReply.then(reply => {
            clearTimeout(timer);
            this.state.openingCount--;
            if (reply.code === ResultCode.Ok) {
                this.addOpened(pooled);
            }
            else {
                this.handleOpenFailure(connection, reply);
            }
        });
    }

    private addOpened(pooled: PooledConnection): void {
        recordOpened(this.state);
        this.all.add(pooled);
        pooled.lastUsedAtMs = this.ports.nowMs();
        this.assignOrMakeIdle(pooled);
    }

    private handleOpenFailure(connection: CommandChannel, reply: InstanceReply): void {
        connection.close(`the instance did not accept the connection, result ${reply.code}`);
        if (reply.code === ResultCode.ConnectionsExhausted) {
            recordExhausted(this.state, this.ports.nowMs());
        }
        else {
            recordOpenFailure(this.state, this.ports.nowMs());
            this.ports.onOpenFailed(reply);
        }
        if (this.openCount === 0) {
            this.failWaiters();
        }
    }

    private assignOrMakeIdle(pooled: PooledConnection): void {
        if (this.isClosed) {
            pooled.connection.close("the connection pool of the instance is closed");
            return;
        }
        const next = this.waiters[0];
        if (next !== undefined && isAssignable(this.state, next.rank)) {
            this.waiters.shift();
            this.state.waitingCount = this.waiters.length;
            next.resolve(this.createLease(pooled, next.rank));
            return;
        }
        this.idle.push(pooled);
        this.state.idleCount = this.idle.length;
    }

    private createLease(pooled: PooledConnection, rank: number): ConnectionLease {
        this.state.idleCount = this.idle.length;
        pooled.isBusy = true;
        this.state.busyCount++;
        pooled.leasedAtMs = this.ports.nowMs();
        pooled.rank = rank;
        recordUseStart(this.use, pooled.leasedAtMs);
        const idleMs = pooled.leasedAtMs - pooled.lastUsedAtMs;
        return ConnectionLease.create(pooled.connection, pooled.connectionState, idleMs, status => this.release(pooled, status));
    }

    private release(pooled: PooledConnection, status: TransactionStatus): void {
        if (pooled.connection.isClosed) {
            return;
        }
        if (status !== TransactionStatus.Idle || pooled.connection.outstandingReplyCount > 0) {
            pooled.connection.close(
                `the connection was released in transaction status ${status} with ${pooled.connection.outstandingReplyCount} outstanding replies`,
            );
            return;
        }
        pooled.isBusy = false;
        this.state.busyCount--;
        pooled.lastUsedAtMs = this.ports.nowMs();
        recordUse(this.use, pooled.rank, pooled.lastUsedAtMs - pooled.leasedAtMs, pooled.lastUsedAtMs);
        this.assignOrMakeIdle(pooled);
    }

    /** Removes a closed connection from the pool. */
    private handleClosed(pooled: PooledConnection, reason: string, isRemote: boolean): void {
        if (!this.all.delete(pooled)) {
            return;
        }
        if (isRemote) {
            this.ports.onLost(reason);
        }
        if (pooled.isBusy) {
            pooled.isBusy = false;
            this.state.busyCount--;
        }
        const index = this.idle.indexOf(pooled);
        if (index >= 0) {
            this.idle.splice(index, 1);
            this.state.idleCount = this.idle.length;
        }
        this.openNeeded();
    }
}
