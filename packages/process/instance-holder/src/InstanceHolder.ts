import {
    type AdmissionOptions,
    type AdmissionState,
    createAdmissionState,
    setAdmissionOptions,
} from "@pomeloturn/admit-request/AdmissionState";
import { type AdmissionEvent, AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";
import { checkRequest } from "./checkRequest.ts";
import { describeInstance } from "./describeInstance.ts";
import { failedAnswer } from "./failedAnswer.ts";
import { HolderConnections } from "./HolderConnections.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";
import { InstanceProber } from "./InstanceProber.ts";
import { opensTransaction } from "./opensTransaction.ts";
import { PendingRequests } from "./PendingRequests.ts";
import { RequestRun } from "./RequestRun.ts";
import { SenderCredits } from "./SenderCredits.ts";

const TICK_INTERVAL_MS = 100;
const QUEUE_LIMIT_REQUESTS = 500;
const QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;
const SAMPLE_REUSE_MS = 100;
/** Time that a canceled statement has to end before its connection is closed. */
const CANCEL_GRACE_MS = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Owns the connections, slots and queues of one instance and runs requests on it. */
export class InstanceHolder {
    private readonly admission: AdmissionState;
    private readonly connections: HolderConnections;
    private readonly pending = PendingRequests.create();
    private readonly credits: SenderCredits;
    /** Connection of each open transaction. */
    private readonly transactions = new Map<string, number>();
    private readonly prober: InstanceProber;
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly environment: InstanceEnvironment) {
        this.admission = createAdmissionState(admissionOptions(environment), environment.nowMs());
        this.credits = SenderCredits.create(environment.ranks.length);
        this.connections = HolderConnections.create({
            environment,
            onAssigned: (id, connectionId) => this.run(id, connectionId),
            onFailed: (id, code) => {
                this.refuse(id, code);
                this.step({ kind: AdmissionEventKind.Finished, id });
            },
            onIdleLost: connectionId => this.forgetTransaction(connectionId),
        });
        this.prober = InstanceProber.create({
            open: () => this.connections.openConnection(),
            isPrimary: () => environment.groupView()?.primary === environment.instance,
            nowMs: () => environment.nowMs(),
            onHealth: isReachable => environment.onHealth(isReachable),
        });
        this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
        this.timer.unref();
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
        return this.pending.isEmpty && this.transactions.size === 0;
    }

    hasTransaction(transactionId: string): boolean {
        return this.transactions.has(transactionId);
    }

    /**
     * Runs a request; `onPart` gets its answer, the last part exactly once.
     *
     * @param sender VM that the request comes from
     */
    submit(request: ForwardRequest, onPart: (part: AnswerPart) => void, sender: string): void {
        const nowMs = this.environment.nowMs();
        const connectionId = this.transactions.get(request.transactionId);
        const isPinned = connectionId !== undefined;
        const refusal = checkRequest(request, this.environment.groupView(), isPinned, nowMs);
        if (refusal !== ResultCode.Ok) {
            onPart(failedAnswer(request, refusal));
            return;
        }
        const { rank, messages } = request;
        const deadlineAtMs = nowMs + request.deadlineLeftMs;
        this.credits.count(sender, rank, nowMs);
        const id = this.pending.add({ request, onPart, sender, deadlineAtMs, connectionId });
        this.step({
            kind: AdmissionEventKind.Arrived,
            request: { id, rank, deadlineAtMs, sizeBytes: messages.length, isPinned },
        });
    }

    /** Refuses a request that waits, and has the backend server cancel one that runs. */
    cancel(sender: string, requestId: number): void {
        const id = this.pending.find(sender, requestId);
        if (id === undefined) {
            return;
        }
        this.step({ kind: AdmissionEventKind.Canceled, id });
        const connectionId = this.pending.get(id)?.connectionId;
        if (connectionId !== undefined) {
            this.connections.cancel(connectionId);
        }
    }

    /** Describes the instance for a proxy that asks, after a fresh sample of its position. */
    async describe(sender: string): Promise<pomeloturn.peer.IInstanceStatus> {
        const askedAtMs = this.environment.nowMs();
        await this.prober.refresh(SAMPLE_REUSE_MS);
        const nowMs = this.environment.nowMs();
        const { running, ranks } = this.admission;
        return describeInstance(
            {
                group: this.group,
                instance: this.instance,
                sample: this.prober.last,
                isReachable: this.prober.isReachable,
                freeSlots: Math.max(0, this.environment.instanceConfiguration.slots - running.size),
                queued: ranks.map(({ queue }) => queue.length),
                credits: this.credits.grant(sender, this.admission, nowMs),
                serviceTimeUs: Math.round(Math.min(...ranks.map(({ serviceTimeMs }) => serviceTimeMs)) * MICROSECONDS_PER_MILLISECOND),
            },
            this.environment.groupView(),
            askedAtMs,
            nowMs,
        );
    }

    /** Rolls an abandoned transaction back by closing its connection. */
    endTransaction(transactionId: string): void {
        const connectionId = this.transactions.get(transactionId);
        if (connectionId !== undefined) {
            this.transactions.delete(transactionId);
            this.connections.discard(connectionId);
        }
    }

    /** Closes all connections. Requests that are running are lost. */
    close(): void {
        clearInterval(this.timer);
        this.prober.close();
        this.connections.close();
    }

    private step(event: AdmissionEvent): void {
        for (const action of stepAdmission(this.admission, event, this.environment.nowMs())) {
            if (action.kind === "refuse") {
                this.refuse(action.id, action.code);
            }
            else {
                this.start(action.id);
            }
        }
    }

    private start(id: number): void {
        const { request, connectionId } = this.pending.get(id)!;
        if (connectionId === undefined) {
            this.connections.want(id, opensTransaction(request.messages));
        }
        else {
            this.run(id, connectionId);
        }
    }

    private run(id: number, connectionId: number): void {
        const entry = this.pending.get(id)!;
        const connection = this.connections.get(connectionId);
        if (connection === undefined) {
            this.refuse(id, ResultCode.TransactionLost);
            this.step({ kind: AdmissionEventKind.Finished, id });
            return;
        }
        entry.connectionId = connectionId;
        const onPart = (part: AnswerPart): void => entry.onPart(entry.isExpired ? toExpired(part) : part);
        RequestRun.create(entry.request, this.environment, onPart, status => this.complete(id, connectionId, status)).start(connection);
    }

    private complete(id: number, connectionId: number, status: TransactionStatus | undefined): void {
        const { transactionId } = this.pending.remove(id)!.request;
        if (status === undefined) {
            this.transactions.delete(transactionId);
            this.connections.discard(connectionId);
        }
        else if (status === TransactionStatus.Idle) {
            this.transactions.delete(transactionId);
            this.connections.giveBack(connectionId);
        }
        else {
            this.transactions.set(transactionId, connectionId);
        }
        this.step({ kind: AdmissionEventKind.Finished, id });
    }

    private refuse(id: number, code: ResultCode): void {
        const entry = this.pending.remove(id);
        entry?.onPart(failedAnswer(entry.request, code));
    }

    private forgetTransaction(connectionId: number): void {
        for (const [transactionId, id] of this.transactions) {
            if (id === connectionId) {
                this.transactions.delete(transactionId);
            }
        }
    }

    private tick(): void {
        const { environment } = this;
        setAdmissionOptions(this.admission, admissionOptions(environment));
        this.step({ kind: AdmissionEventKind.Tick });
        this.connections.tick(environment.groupView()?.holders[environment.instance] === environment.vm);
        this.expire(environment.nowMs());
    }

    /** Cancels what runs past its deadline and closes the connection when that does not help. */
    private expire(nowMs: number): void {
        for (const entry of this.pending.running()) {
            const lateMs = nowMs - entry.deadlineAtMs;
            if (lateMs >= CANCEL_GRACE_MS) {
                entry.isExpired = true;
                this.connections.get(entry.connectionId!)?.close();
            }
            else if (lateMs >= 0 && !entry.isCanceled) {
                entry.isCanceled = true;
                this.connections.cancel(entry.connectionId!);
            }
        }
    }
}

const admissionOptions = ({ instanceConfiguration, ranks }: InstanceEnvironment): AdmissionOptions => ({
    slots: instanceConfiguration.slots,
    ranks,
    queueLimit: QUEUE_LIMIT_REQUESTS,
    queueLimitBytes: QUEUE_LIMIT_BYTES,
});

const toExpired = (part: AnswerPart): AnswerPart =>
    part.resultCode === ResultCode.BackendLost ? { ...part, resultCode: ResultCode.DeadlineWhileRunning } : part;
