import { type ConnectionUse, createConnectionUse, recordUse, recordUseStart } from "@pomeloturn/admit-waiting/ConnectionUse";
import { estimateWaitMs } from "@pomeloturn/admit-waiting/decideAdmission";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createConnectionState } from "@pomeloturn/statement-session/ConnectionState";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { ConnectionLease } from "./ConnectionLease.ts";
import type { PooledConnection } from "./PooledConnection.ts";
import type { PoolPorts } from "./PoolPorts.ts";
import {
    countFree,
    countUsable,
    createPoolState,
    isAssignable,
    isFull,
    isIdleTooLong,
    isOpeningAllowed,
    type PoolState,
    recordExhausted,
    recordOpened,
    recordOpenFailure,
    restoreLimits,
    updateLimits,
} from "./PoolState.ts";
import { type WaitingRequest, WaitingRequests } from "./WaitingRequests.ts";

/** Time limit for connecting to an instance and receiving its reply to the start-up message. */
const OPEN_TIMEOUT_MS = 450;

/** Identity of connections that are opened in advance and of requests that belong to no team. */
export const NO_IDENTITY = "";

/** Pool of the connections from this VM to one instance. */
export class InstancePool {
    private readonly state: PoolState = createPoolState();
    private readonly use: ConnectionUse = createConnectionUse();
    private readonly idle: PooledConnection[] = [];
    private readonly all = new Set<PooledConnection>();
    private readonly waiting = WaitingRequests.create();
    /** Identities of the connections that are being opened. */
    private readonly openingIdentities: string[] = [];
    private isClosed = false;

    private constructor(private readonly ports: PoolPorts) {}

    static create(ports: PoolPorts): InstancePool {
        return new InstancePool(ports);
    }

    /** Number of requests that wait for a connection or use one. */
    get requestCount(): number {
        return this.state.busyCount + this.waiting.count;
    }

    /** Number of requests that wait for a connection or for a reply. */
    get activeCount(): number {
        const busy = [...this.all].filter(({ isBusy }) => isBusy);
        return this.waiting.count + busy.filter(({ connection }) => connection.outstandingReplyCount > 0).length;
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
        const aheadCount = this.waiting.countUpTo(rank);
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
     * @param identity identity that the connection must have been opened under
     * @returns undefined if the pool is closed, the instance is unreachable, or no connection became available in time
     */
    acquire(rank: number, waitMs: number, identity: string = NO_IDENTITY): Promise<ConnectionLease | undefined> {
        if (this.isClosed || (this.openCount === 0 && this.ports.nowMs() < this.state.backoffUntilMs)) {
            return Promise.resolve(undefined);
        }
        const idleConnection = isAssignable(this.state, rank) ? this.takeIdle(identity) : undefined;
        if (idleConnection !== undefined) {
            return Promise.resolve(this.createLease(idleConnection, rank));
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => this.cancelWaiter(waiter), waitMs);
            const waiter: WaitingRequest = {
                rank,
                identity,
                resolve: (lease: ConnectionLease | undefined): void => {
                    clearTimeout(timer);
                    resolve(lease);
                },
            };
            this.waiting.add(waiter);
            this.openNeeded();
        });
    }

    /** Opens a first connection in advance, so that the first request does not have to wait for it. */
    warmUp(): void {
        if (this.state.coreConnectionCount > 0) {
            this.openFirst();
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
        if (this.isUnreachable && (this.ports.pacing !== undefined || nowMs >= this.state.backoffUntilMs)) {
            // No request uses an unreachable instance, so that nothing else would find that it has recovered.
            this.openFirst();
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

    private openFirst(): void {
        if (this.openCount + this.state.openingCount === 0 && !this.isClosed && this.ports.pacing?.takeProbe() !== false) {
            this.openConnection(NO_IDENTITY);
        }
    }

    private cancelWaiter(waiter: WaitingRequest): void {
        if (this.waiting.remove(waiter)) {
            waiter.resolve(undefined);
        }
    }

    private failWaiters(): void {
        this.waiting.removeAll().forEach(({ resolve }) => resolve(undefined));
    }

    private takeIdle(identity: string): PooledConnection | undefined {
        const index = this.idle.findLastIndex(each => each.identity === identity);
        return index < 0 ? undefined : this.idle.splice(index, 1)[0];
    }

    private openNeeded(): void {
        if (this.isClosed || this.waiting.count === 0) {
            return;
        }
        for (const identity of this.waiting.listUnmetIdentities(this.openingIdentities)) {
            if (!isOpeningAllowed(this.state, this.ports.nowMs()) || (isFull(this.state) && !this.closeIdleOfOthers(identity))) {
                return;
            }
            this.openConnection(identity);
        }
    }

    /** Closes the connection of another identity that has been idle longest. @returns whether there was one */
    private closeIdleOfOthers(identity: string): boolean {
        const index = this.idle.findIndex(each => each.identity !== identity);
        const other = this.idle.splice(index, index < 0 ? 0 : 1)[0];
        if (other === undefined) {
            return false;
        }
        this.all.delete(other);
        this.state.idleCount = this.idle.length;
        other.connection.close("a request of another identity needs a connection");
        return true;
    }

    private openConnection(identity: string): void {
        const startedAtMs = this.ports.nowMs();
        this.state.openingCount++;
        this.openingIdentities.push(identity);
        const connection = this.ports.open((reason, isRemote) => this.handleClosed(pooled, reason, isRemote), identity);
        const pooled: PooledConnection = {
            connection,
            connectionState: createConnectionState(),
            identity,
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
            this.openingIdentities.splice(this.openingIdentities.indexOf(identity), 1);
            if (reply.code === ResultCode.Ok) {
                this.addOpened(pooled);
            }
            else {
                this.handleOpenFailure(pooled, reply);
            }
        });
    }

    private addOpened(pooled: PooledConnection): void {
        recordOpened(this.state);
        this.all.add(pooled);
        pooled.lastUsedAtMs = this.ports.nowMs();
        this.assignOrMakeIdle(pooled);
    }

    private handleOpenFailure({ connection, leasedAtMs: startedAtMs }: PooledConnection, reply: InstanceReply): void {
        connection.close(`the instance did not accept the connection, result ${reply.code}`);
        if (reply.code === ResultCode.ConnectionsExhausted) {
            recordExhausted(this.state, this.ports.nowMs());
        }
        else {
            const isFirstFailure = this.state.failureCount === 0 || this.waiting.count > 0;
            recordOpenFailure(this.state, this.ports.nowMs());
            if (isFirstFailure || this.ports.pacing !== undefined) {
                // A failed probe of an instance that no request uses says nothing new of it.
                this.ports.onOpenFailed(reply);
            }
        }
        const pacedMs = this.ports.pacing?.recordFailedOpening(reply.code === ResultCode.ConnectionsExhausted, startedAtMs);
        this.state.backoffUntilMs = pacedMs === undefined ? this.state.backoffUntilMs : this.ports.nowMs() + pacedMs;
        if (this.openCount === 0) {
            this.failWaiters();
        }
    }

    private assignOrMakeIdle(pooled: PooledConnection): void {
        if (this.isClosed) {
            pooled.connection.close("the connection pool of the instance is closed");
            return;
        }
        const next = this.waiting.takeNext(pooled.identity, rank => isAssignable(this.state, rank));
        if (next !== undefined) {
            next.resolve(this.createLease(pooled, next.rank));
            return;
        }
        this.idle.push(pooled);
        this.state.idleCount = this.idle.length;
        this.openNeeded();
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
        if (isRemote && !pooled.isBusy) {
            this.ports.pacing?.recordLoss(pooled.lastUsedAtMs);
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
