import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import { type ConnectionContents, createContents } from "@pomeloturn/statement-session/ConnectionContents";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { Lease } from "./Lease.ts";
import {
    countToOpen,
    createPoolState,
    isIdleTooLong,
    mayAssign,
    type PoolState,
    recordExhausted,
    recordOpened,
    recordOpenFailure,
    regrowLimit,
    shareLimit,
} from "./PoolState.ts";

/** Time that an instance has to accept a connection and greet. */
const OPEN_TIMEOUT_MS = 450;

/** What a pool needs from its surroundings. */
export interface PoolPorts {
    readonly nowMs: () => number;
    readonly open: (onClosed: (reason: string, isRemote: boolean) => void) => CommandChannel;
    /** Told of each connection that could not be opened. */
    readonly onOpenFailed: (reply: InstanceReply) => void;
    /** Told of each open connection that the instance or the network ended. */
    readonly onLost: (reason: string) => void;
}

interface PooledConnection {
    readonly connection: CommandChannel;
    readonly contents: ConnectionContents;
    usedAtMs: number;
    isBusy: boolean;
}

interface Waiter {
    readonly rank: number;
    readonly resolve: (lease: Lease | undefined) => void;
}

/** The connections of this VM to one instance. */
export class InstancePool {
    private readonly state: PoolState = createPoolState();
    private readonly idle: PooledConnection[] = [];
    private readonly all = new Set<PooledConnection>();
    /** Most urgent rank first, then in order of arrival. */
    private readonly waiting: Waiter[] = [];
    private isClosed = false;

    private constructor(private readonly ports: PoolPorts) {}

    static create(ports: PoolPorts): InstancePool {
        return new InstancePool(ports);
    }

    /** Requests that wait for a connection or have one. */
    get load(): number {
        return this.state.busyCount + this.waiting.length;
    }

    get openCount(): number {
        return this.state.busyCount + this.state.idleCount;
    }

    /** Whether the last attempts to open a connection failed and none is open. */
    get isUnreachable(): boolean {
        return this.state.failureCount > 0 && this.openCount === 0;
    }

    setLimit(connectionLimit: number, vmCount: number): void {
        shareLimit(this.state, connectionLimit, vmCount);
    }

    /**
     * Takes a connection, or waits for one.
     *
     * @returns undefined when none can be had: the instance is unreachable, or the wait was too long
     */
    acquire(rank: number, waitMs: number): Promise<Lease | undefined> {
        if (this.isClosed || (this.openCount === 0 && this.ports.nowMs() < this.state.backoffUntilMs)) {
            return Promise.resolve(undefined);
        }
        const found = mayAssign(this.state, rank) ? this.idle.pop() : undefined;
        if (found !== undefined) {
            return Promise.resolve(this.lease(found));
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.giveUp(waiter), waitMs);
            const waiter = {
                rank,
                resolve: (lease: Lease | undefined): void => {
                    clearTimeout(timer);
                    resolve(lease);
                },
            };
            this.enqueue(waiter);
            this.openMissing();
        });
    }

    /** Opens a first connection, so that the first request need not wait for it. */
    warm(): void {
        if (this.state.keptCount > 0 && this.openCount + this.state.openingCount === 0 && !this.isClosed) {
            this.openOne();
        }
    }

    /** Regular upkeep. */
    tick(): void {
        const nowMs = this.ports.nowMs();
        regrowLimit(this.state, nowMs);
        for (let oldest = this.idle[0]; oldest !== undefined && isIdleTooLong(this.state, nowMs - oldest.usedAtMs); oldest = this.idle[0]) {
            oldest.connection.close("idle");
        }
        this.openMissing();
    }

    /** Closes all connections; what waits gets none. */
    close(reason: string): void {
        this.isClosed = true;
        this.failWaiting();
        [...this.all].forEach(({ connection }) => connection.close(reason));
    }

    /** Closes the connections that nobody uses; those in use are closed when they are given back. */
    retire(reason: string): void {
        this.isClosed = true;
        this.failWaiting();
        [...this.idle].forEach(({ connection }) => connection.close(reason));
    }

    private enqueue(waiter: Waiter): void {
        const index = this.waiting.findIndex(({ rank }) => rank > waiter.rank);
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, waiter);
        this.state.waitingCount = this.waiting.length;
    }

    private giveUp(waiter: Waiter): void {
        const index = this.waiting.indexOf(waiter);
        if (index >= 0) {
            this.waiting.splice(index, 1);
            this.state.waitingCount = this.waiting.length;
            waiter.resolve(undefined);
        }
    }

    private failWaiting(): void {
        this.state.waitingCount = 0;
        this.waiting.splice(0).forEach(({ resolve }) => resolve(undefined));
    }

    private openMissing(): void {
        for (let count = this.isClosed ? 0 : countToOpen(this.state, this.ports.nowMs()); count > 0; count--) {
            this.openOne();
        }
    }

    private openOne(): void {
        const startedAtMs = this.ports.nowMs();
        this.state.openingCount++;
        const connection = this.ports.open((reason, isRemote) => this.forget(pooled, reason, isRemote));
        const pooled: PooledConnection = { connection, contents: createContents(), usedAtMs: startedAtMs, isBusy: false };
        const timer = setTimeout(() => connection.close("no greeting in time"), OPEN_TIMEOUT_MS);
        void connection.greeting.then(reply => {
            clearTimeout(timer);
            this.state.openingCount--;
            if (reply.code === ResultCode.Ok) {
                this.admit(pooled);
            }
            else {
                this.refuseOpening(connection, reply);
            }
        });
    }

    private admit(pooled: PooledConnection): void {
        recordOpened(this.state);
        this.all.add(pooled);
        pooled.usedAtMs = this.ports.nowMs();
        this.putBack(pooled);
    }

    private refuseOpening(connection: CommandChannel, reply: InstanceReply): void {
        connection.close("not greeted");
        if (reply.code === ResultCode.ConnectionsExhausted) {
            recordExhausted(this.state, this.ports.nowMs());
        }
        else {
            recordOpenFailure(this.state, this.ports.nowMs());
            this.ports.onOpenFailed(reply);
        }
        if (this.openCount === 0) {
            this.failWaiting();
        }
    }

    private putBack(pooled: PooledConnection): void {
        if (this.isClosed) {
            pooled.connection.close("the instance is not used any more");
            return;
        }
        const next = this.waiting[0];
        if (next !== undefined && mayAssign(this.state, next.rank)) {
            this.waiting.shift();
            this.state.waitingCount = this.waiting.length;
            next.resolve(this.lease(pooled));
            return;
        }
        this.idle.push(pooled);
        this.state.idleCount = this.idle.length;
    }

    private lease(pooled: PooledConnection): Lease {
        this.state.idleCount = this.idle.length;
        pooled.isBusy = true;
        this.state.busyCount++;
        const idleMs = this.ports.nowMs() - pooled.usedAtMs;
        return Lease.create(pooled.connection, pooled.contents, idleMs, status => this.release(pooled, status));
    }

    private release(pooled: PooledConnection, status: TransactionStatus): void {
        if (pooled.connection.isClosed) {
            return;
        }
        if (status !== TransactionStatus.Idle || pooled.connection.outstandingCount > 0) {
            pooled.connection.close("not idle when given back");
            return;
        }
        pooled.isBusy = false;
        this.state.busyCount--;
        pooled.usedAtMs = this.ports.nowMs();
        this.putBack(pooled);
    }

    /** The connection is gone. */
    private forget(pooled: PooledConnection, reason: string, isRemote: boolean): void {
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
        this.openMissing();
    }
}
