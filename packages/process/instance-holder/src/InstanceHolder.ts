import {
    type AdmissionAction,
    AdmissionActionKind,
    AdmissionEventKind,
    type AdmissionState,
    createAdmission,
    stepAdmission,
} from "@pomeloturn/admit-request/admission";
import { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import {
    createPool,
    type PoolAction,
    PoolActionKind,
    type PoolEvent,
    PoolEventKind,
    type PoolState,
    stepPool,
} from "@pomeloturn/connection-pool/pool";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { GroupConfiguration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { type AnswerPart, type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";
import { checkRequest } from "./checkRequest.ts";
import { describeInstance } from "./describeInstance.ts";
import { failedAnswer } from "./failedAnswer.ts";
import { InstanceProber } from "./InstanceProber.ts";
import { RequestRun } from "./RequestRun.ts";

const CONNECT_TIMEOUT_MS = 3_000;
const QUEUE_LIMIT_REQUESTS = 1_000;
const RANK_COUNT = 3;
const SAMPLE_REUSE_MS = 100;
/** The prober's connection is counted within the instance's limit. */
const PROBE_CONNECTIONS = 1;

/** What an instance holder needs to know from outside, read anew for each decision. */
export interface InstanceEnvironment {
    /** Name of this VM. */
    readonly vm: string;
    readonly group: string;
    readonly instance: string;
    readonly groupConfiguration: GroupConfiguration;
    readonly instanceConfiguration: InstanceConfiguration;
    /** Term of which this holder has written the marker into the primary. */
    markedTerm?: number;
    groupView(): GroupView | undefined;
    nowMs(): number;
    /** Called after each probe of the instance. */
    onHealth(isReachable: boolean): void;
}

interface PendingRequest {
    readonly request: ForwardRequest;
    readonly onPart: (part: AnswerPart) => void;
    connectionId?: number;
}

/** Owns the connections, slots and queue of one instance and runs requests on it. */
export class InstanceHolder {
    private readonly admission: AdmissionState;
    private readonly pool: PoolState;
    private readonly connections = new Map<number, BackendConnection>();
    private readonly pending = new Map<number, PendingRequest>();
    /** Connection of each open transaction. */
    private readonly transactions = new Map<string, number>();
    private readonly prober: InstanceProber;
    private nextId = 1;

    private constructor(private readonly environment: InstanceEnvironment) {
        const { slots, connections } = environment.instanceConfiguration;
        this.admission = createAdmission(slots, RANK_COUNT, QUEUE_LIMIT_REQUESTS);
        this.pool = createPool(Math.max(1, connections - PROBE_CONNECTIONS));
        this.prober = InstanceProber.create({
            open: () => this.openConnection(),
            isPrimary: () => environment.groupView()?.primary === environment.instance,
            nowMs: () => environment.nowMs(),
            onHealth: isReachable => environment.onHealth(isReachable),
        });
    }

    static create(environment: InstanceEnvironment): InstanceHolder {
        return new InstanceHolder(environment);
    }

    get group(): string {
        return this.environment.group;
    }

    get instance(): string {
        return this.environment.instance;
    }

    /** Whether no request waits or runs and no transaction is open. */
    get isUnused(): boolean {
        return this.pending.size === 0 && this.transactions.size === 0;
    }

    hasTransaction(transactionId: string): boolean {
        return this.transactions.has(transactionId);
    }

    /** Runs a request; `onPart` gets its answer, the last part exactly once. */
    submit(request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        const nowMs = this.environment.nowMs();
        const connectionId = this.transactions.get(request.transactionId);
        const refusal = checkRequest(request, this.environment.groupView(), connectionId !== undefined, nowMs);
        if (refusal !== ResultCode.Ok) {
            onPart(failedAnswer(request, refusal));
            return;
        }
        const id = this.nextId++;
        this.pending.set(id, { request, onPart });
        if (connectionId !== undefined) {
            this.run(id, connectionId);
            return;
        }
        const item = { id, rank: request.rank, deadlineAtMs: nowMs + request.deadlineLeftMs };
        this.applyAdmission(stepAdmission(this.admission, { kind: AdmissionEventKind.Arrived, item }, nowMs));
    }

    /** Describes the instance for a proxy that asks, after a fresh sample of its position. */
    async describe(_vm: string): Promise<pomeloturn.peer.IInstanceStatus> {
        const askedAtMs = this.environment.nowMs();
        await this.prober.refresh(SAMPLE_REUSE_MS);
        const { slots } = this.environment.instanceConfiguration;
        return describeInstance(
            {
                group: this.environment.group,
                instance: this.environment.instance,
                sample: this.prober.last,
                isReachable: this.prober.isReachable,
                freeSlots: Math.max(0, slots - this.admission.running.size),
                queued: this.admission.queues.map(queue => queue.length),
                credits: [],
                serviceTimeUs: 0,
            },
            this.environment.groupView(),
            askedAtMs,
            this.environment.nowMs(),
        );
    }

    /** Rolls an abandoned transaction back by closing its connection. */
    endTransaction(transactionId: string): void {
        const connectionId = this.transactions.get(transactionId);
        if (connectionId !== undefined) {
            this.transactions.delete(transactionId);
            this.connections.get(connectionId)?.close();
            this.removeConnection(connectionId);
        }
    }

    /** Closes all connections. Requests that are running are lost. */
    close(): void {
        this.prober.close();
        for (const connection of this.connections.values()) {
            connection.close();
        }
    }

    private applyAdmission(actions: readonly AdmissionAction[]): void {
        for (const action of actions) {
            if (action.kind === AdmissionActionKind.Start) {
                this.applyPool(stepPool(this.pool, { kind: PoolEventKind.Wanted, requestId: action.id }));
            }
            else {
                this.finish(action.id, action.code);
            }
        }
    }

    private applyPool(actions: readonly PoolAction[]): void {
        for (const action of actions) {
            if (action.kind === PoolActionKind.Open) {
                void this.open(action.connectionId);
            }
            else if (action.kind === PoolActionKind.Assign) {
                this.run(action.requestId, action.connectionId);
            }
            else {
                this.finish(action.requestId, action.code);
                this.releaseSlot(action.requestId);
            }
        }
    }

    private openConnection(): Promise<BackendConnection> {
        const { groupConfiguration, instanceConfiguration } = this.environment;
        const { user, password, database } = groupConfiguration;
        const { host, port } = instanceConfiguration;
        return BackendConnection.open({
            host,
            port,
            user,
            password,
            database,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            applicationName: this.environment.vm,
        });
    }

    private async open(connectionId: number): Promise<void> {
        try {
            const connection = await this.openConnection();
            connection.onIdleLost = () => this.removeConnection(connectionId);
            this.connections.set(connectionId, connection);
            this.stepPool({ kind: PoolEventKind.Opened, connectionId });
        }
        catch {
            this.stepPool({ kind: PoolEventKind.OpenFailed, connectionId });
        }
    }

    private stepPool(event: PoolEvent): void {
        this.applyPool(stepPool(this.pool, event));
    }

    private run(id: number, connectionId: number): void {
        const entry = this.pending.get(id)!;
        const connection = this.connections.get(connectionId);
        if (connection === undefined) {
            this.finish(id, ResultCode.TransactionLost);
            return;
        }
        entry.connectionId = connectionId;
        const run = RequestRun.create(entry.request, this.environment, entry.onPart, status => this.complete(id, connectionId, status));
        run.start(connection);
    }

    private complete(id: number, connectionId: number, status: TransactionStatus | undefined): void {
        const request = this.pending.get(id)!.request;
        this.pending.delete(id);
        this.settleConnection(request, connectionId, status);
        this.releaseSlot(id);
    }

    private settleConnection(request: ForwardRequest, connectionId: number, status: TransactionStatus | undefined): void {
        if (status === undefined) {
            this.transactions.delete(request.transactionId);
            this.connections.get(connectionId)?.close();
            this.removeConnection(connectionId);
            return;
        }
        if (status === TransactionStatus.Idle) {
            this.transactions.delete(request.transactionId);
            this.stepPool({ kind: PoolEventKind.Returned, connectionId });
            return;
        }
        this.transactions.set(request.transactionId, connectionId);
    }

    private releaseSlot(id: number): void {
        this.applyAdmission(stepAdmission(this.admission, { kind: AdmissionEventKind.Finished, id }, this.environment.nowMs()));
    }

    private removeConnection(connectionId: number): void {
        if (this.connections.delete(connectionId)) {
            this.stepPool({ kind: PoolEventKind.Lost, connectionId });
        }
    }

    private finish(id: number, code: ResultCode): void {
        const entry = this.pending.get(id);
        if (entry !== undefined) {
            this.pending.delete(id);
            entry.onPart(failedAnswer(entry.request, code));
        }
    }
}
