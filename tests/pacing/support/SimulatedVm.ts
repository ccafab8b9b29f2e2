import {
    createPoolState,
    isFull,
    isIdleTooLong,
    isOpeningAllowed,
    type PoolState,
    recordExhausted,
    recordOpened,
    recordOpenFailure,
    restoreLimits,
    updateLimits,
} from "@pomeloturn/instance-pool/PoolState";
import type { PacingRule } from "./pacingRules.ts";
import { InstanceAnswer, type SimulatedConnection, type SimulatedInstance } from "./SimulatedInstance.ts";
import type { VirtualTime } from "./VirtualTime.ts";

/** An operation of a caller, with the times at which it returns to other VMs after refusals. */
export interface SimulatedOperation {
    readonly rank: number;
    readonly workMs: number;
    /** Time limit of each attempt by the caller. */
    readonly limitMs: number;
    readonly targetMs: number;
    readonly arrivedAtMs: number;
    retriesLeft: number;
    answeredAtMs: number | undefined;
}

/** An operation at one VM. */
interface Request {
    readonly operation: SimulatedOperation;
    readonly arrivedAtMs: number;
    readonly sendDeadlineAtMs: number;
    readonly deadlineAtMs: number;
    isDone: boolean;
}

interface VmConnection {
    channel: SimulatedConnection;
    lastUsedAtMs: number;
    request: Request | undefined;
    isClosed: boolean;
}

const OPEN_TIMEOUT_MS = 450;
const TICK_MS = 200;
/** Pause before a request that got no connection tries again, as in `runWrite`. */
const RETRY_PAUSE_MS = 25;
/** Share of the limit for which a statement may wait before it is sent, as in `Operation`. */
const SEND_WAIT_SHARE = 0.4;

export interface VmPorts {
    readonly time: VirtualTime;
    readonly random: () => number;
    readonly instance: SimulatedInstance;
    /** Called when the VM refuses an operation. */
    readonly onRefused: (operation: SimulatedOperation, retryAfterMs: number | undefined) => void;
}

/** A VM's pool of connections to the instance and its waiting requests. It knows only the answers to its own attempts. */
export class SimulatedVm {
    /** Longest time by which a request was held beyond the time that it may wait for its turn, in milliseconds. */
    heldBeyondLimitMs = 0;
    private readonly state: PoolState = createPoolState();
    private readonly idle: VmConnection[] = [];
    private readonly all = new Set<VmConnection>();
    private waiting: Request[] = [];

    constructor(
        private readonly ports: VmPorts,
        private readonly rule: PacingRule,
        connectionLimit: number,
        vmCount: number,
    ) {
        updateLimits(this.state, connectionLimit, vmCount);
        ports.time.after(TICK_MS * ports.random(), () => this.tick());
    }

    /** Number of statements that wait for a connection or use one. */
    get inFlightCount(): number {
        return this.waiting.length + this.state.busyCount;
    }

    arrive(operation: SimulatedOperation): void {
        const { nowMs } = this.ports.time;
        const sendDeadlineAtMs = nowMs + operation.limitMs * SEND_WAIT_SHARE;
        this.queueTurn({ operation, arrivedAtMs: nowMs, sendDeadlineAtMs, deadlineAtMs: nowMs + operation.limitMs, isDone: false });
    }

    private queueTurn(request: Request): void {
        const { rule, ports: { time } } = this;
        const { rank } = request.operation;
        const onTurn = (isAllowed: boolean, retryAfterMs?: number): void => {
            this.heldBeyondLimitMs = Math.max(this.heldBeyondLimitMs, time.nowMs - request.sendDeadlineAtMs);
            if (isAllowed) {
                this.acquire(request);
            }
            else {
                this.refuse(request, retryAfterMs);
            }
        };
        if (time.nowMs >= request.sendDeadlineAtMs) {
            this.refuse(request, undefined);
            return;
        }
        rule.queueTurn({ rank, limitAtMs: request.sendDeadlineAtMs, onTurn }, () => this.inFlightCount);
    }

    private refuse(request: Request, retryAfterMs: number | undefined): void {
        if (!request.isDone) {
            request.isDone = true;
            this.ports.onRefused(request.operation, retryAfterMs);
        }
    }

    private acquire(request: Request): void {
        const { time } = this.ports;
        if (this.state.busyCount + this.state.idleCount === 0 && time.nowMs < this.state.backoffUntilMs) {
            time.after(RETRY_PAUSE_MS, () => this.queueTurn(request));
            return;
        }
        const connection = this.idle.pop();
        this.state.idleCount = this.idle.length;
        if (connection !== undefined) {
            this.send(connection, request);
            return;
        }
        const index = this.waiting.findIndex(({ operation }) => operation.rank > request.operation.rank);
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
        time.after(request.sendDeadlineAtMs - time.nowMs, () => {
            if (this.waiting.includes(request)) {
                this.waiting.splice(this.waiting.indexOf(request), 1);
                this.refuse(request, undefined);
            }
        });
        this.openNeeded();
    }

    private openNeeded(): void {
        const { state, ports: { time } } = this;
        while (this.waiting.length > state.openingCount && isOpeningAllowed(state, time.nowMs) && !isFull(state)) {
            this.openConnection();
        }
    }

    private openConnection(): void {
        const { state, ports: { time, instance } } = this;
        const startedAtMs = time.nowMs;
        state.openingCount++;
        let isDecided = false;
        const decide = (answer: InstanceAnswer): void => {
            if (!isDecided) {
                isDecided = true;
                state.openingCount--;
                this.handleOpened(connection, answer, startedAtMs);
            }
        };
        const connection: VmConnection = {
            channel: instance.open(decide, () => this.handleLost(connection)),
            lastUsedAtMs: startedAtMs,
            request: undefined,
            isClosed: false,
        };
        time.after(OPEN_TIMEOUT_MS, () => decide(InstanceAnswer.Lost));
    }

    private handleOpened(connection: VmConnection, answer: InstanceAnswer, startedAtMs: number): void {
        const { state, rule, ports: { time } } = this;
        if (answer === InstanceAnswer.Ok) {
            recordOpened(state);
            this.all.add(connection);
            this.assignOrMakeIdle(connection);
            return;
        }
        connection.channel.close();
        connection.isClosed = true;
        if (answer === InstanceAnswer.NoConnections) {
            recordExhausted(state, time.nowMs);
        }
        else {
            recordOpenFailure(state, time.nowMs);
        }
        state.backoffUntilMs = time.nowMs
            + rule.recordFailedOpening(answer, startedAtMs, this.inFlightCount, state.backoffUntilMs - time.nowMs);
        if (state.busyCount + state.idleCount === 0) {
            const waiting = this.waiting.splice(0);
            waiting.forEach(request => time.after(RETRY_PAUSE_MS, () => this.queueTurn(request)));
        }
    }

    private assignOrMakeIdle(connection: VmConnection): void {
        connection.lastUsedAtMs = this.ports.time.nowMs;
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.send(connection, next);
            return;
        }
        this.idle.push(connection);
        this.state.idleCount = this.idle.length;
    }

    private send(connection: VmConnection, request: Request): void {
        const { state, rule, ports: { time } } = this;
        const { operation } = request;
        const sentAtMs = time.nowMs;
        state.busyCount++;
        connection.request = request;
        connection.channel.run(operation.workMs, answer => {
            if (connection.request !== request) {
                return;
            }
            const inFlightCount = this.inFlightCount;
            connection.request = undefined;
            state.busyCount--;
            rule.recordReply(answer, sentAtMs, inFlightCount);
            if (answer === InstanceAnswer.Ok) {
                request.isDone = true;
                operation.answeredAtMs ??= time.nowMs;
            }
            else {
                this.queueTurn(request);
            }
            this.assignOrMakeIdle(connection);
        });
        time.after(request.deadlineAtMs - time.nowMs, () => {
            if (connection.request === request) {
                this.drop(connection);
                connection.channel.close();
                rule.recordReply(InstanceAnswer.Lost, sentAtMs, this.inFlightCount);
                this.refuse(request, undefined);
            }
        });
    }

    /** Handles a connection that the instance has ended. A statement that was sent has an unknown outcome and is not repeated. */
    private handleLost(connection: VmConnection): void {
        if (!this.all.has(connection)) {
            return;
        }
        const { request, lastUsedAtMs } = connection;
        const inFlightCount = this.inFlightCount;
        this.drop(connection);
        this.rule.recordReply(InstanceAnswer.Lost, lastUsedAtMs, inFlightCount);
        if (request !== undefined) {
            this.refuse(request, undefined);
        }
        this.openNeeded();
    }

    private drop(connection: VmConnection): void {
        this.all.delete(connection);
        connection.isClosed = true;
        if (connection.request !== undefined) {
            connection.request = undefined;
            this.state.busyCount--;
        }
        const index = this.idle.indexOf(connection);
        if (index >= 0) {
            this.idle.splice(index, 1);
            this.state.idleCount = this.idle.length;
        }
    }

    private tick(): void {
        const { state, ports: { time } } = this;
        restoreLimits(state, time.nowMs);
        for (let oldest = this.idle[0]; oldest !== undefined; oldest = this.idle[0]) {
            if (!isIdleTooLong(state, time.nowMs - oldest.lastUsedAtMs)) {
                break;
            }
            this.drop(oldest);
            oldest.channel.close();
        }
        this.openNeeded();
        time.after(TICK_MS, () => this.tick());
    }
}
