import {
    type AdmissionOptions,
    type AdmissionState,
    createAdmissionState,
    setAdmissionOptions,
} from "@pomeloturn/admit-request/AdmissionState";
import { type AdmissionEvent, AdmissionEventKind, stepAdmission } from "@pomeloturn/admit-request/stepAdmission";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, DELIVERY_LIMIT_MS, type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";
import { buildInstanceStatus } from "./buildInstanceStatus.ts";
import { checkRequest } from "./checkRequest.ts";
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
const MAXIMUM_SAMPLE_AGE_MS = 100;
/** Time after the deadline for a canceled statement to end before its connection is closed. */
const CANCEL_GRACE_MS = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Runs requests on one instance. Owns its connections, slots and queues. */
export class InstanceHolder {
    private readonly admission: AdmissionState;
    private readonly connections: HolderConnections;
    private readonly pending = PendingRequests.create();
    private readonly credits: SenderCredits;
    /** Connection id by id of each open transaction. */
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
            onIdleClosed: connectionId => this.removeTransaction(connectionId),
        });
        this.prober = InstanceProber.create({
            open: () => this.connections.openConnection(),
            isPrimary: () => environment.groupView()?.primary === environment.instance,
            nowMs: () => environment.nowMs(),
            onHealth: isReachable => environment.onHealth(isReachable),
            onUnanswered: sentAtMs => this.connections.handleOverdueAnswer(sentAtMs),
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

    /** Whether no request is queued or running and no transaction is open. */
    get isIdle(): boolean {
        return this.pending.isEmpty && this.transactions.size === 0;
    }

    hasTransaction(transactionId: string): boolean {
        return this.transactions.has(transactionId);
    }

    /**
     * Runs a request. `onPart` is called with the parts of the answer, with the last part exactly once.
     *
     * @param sender VM from which the request comes
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
        this.credits.countRequest(sender, rank, nowMs);
        const id = this.pending.add({ request, onPart, sender, deadlineAtMs, connectionId });
        this.step({
            kind: AdmissionEventKind.Arrived,
            request: { id, rank, deadlineAtMs, sizeBytes: messages.length, isPinned },
        });
    }

    /** Rejects a queued request; asks the backend server to cancel a running one. */
    cancel(sender: string, requestId: number): void {
        const id = this.pending.findId(sender, requestId);
        if (id === undefined) {
            return;
        }
        this.step({ kind: AdmissionEventKind.Canceled, id });
        const connectionId = this.pending.get(id)?.connectionId;
        if (connectionId !== undefined) {
            this.connections.cancel(connectionId);
        }
    }

    /** Returns the status of the instance, with its credits for `sender` and a position at most `MAXIMUM_SAMPLE_AGE_MS` old. */
    async readStatus(sender: string): Promise<pomeloturn.peer.IInstanceStatus> {
        const askedAtMs = this.environment.nowMs();
        await this.prober.refresh(MAXIMUM_SAMPLE_AGE_MS);
        const nowMs = this.environment.nowMs();
        const { running, ranks } = this.admission;
        return buildInstanceStatus(
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

    /** Rolls back an abandoned transaction by closing its connection. */
    endTransaction(transactionId: string): void {
        const connectionId = this.transactions.get(transactionId);
        if (connectionId !== undefined) {
            this.transactions.delete(transactionId);
            this.connections.discard(connectionId);
        }
    }

    /** Closes all connections. Running requests are lost. */
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
            this.connections.acquire(id, opensTransaction(request.messages));
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
        entry.startedAtMs = this.environment.nowMs();
        const onPart = (part: AnswerPart): void => {
            entry.isAnswerBegun ||= part.messages.length > 0;
            entry.onPart(entry.isExpired ? toDeadlineExceeded(part) : part);
        };
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
            this.connections.release(connectionId);
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

    private removeTransaction(connectionId: number): void {
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
        this.cancelOverdue(environment.nowMs());
    }

    /**
     * Cancels requests that run past their deadline, and closes the connection of those that have not ended in time. Once a
     * part of the answer has been sent, its caller has time to read the rest.
     */
    private cancelOverdue(nowMs: number): void {
        for (const entry of this.pending.listRunning()) {
            const overdueMs = nowMs - entry.deadlineAtMs - (entry.isAnswerBegun === true ? DELIVERY_LIMIT_MS : 0);
            if (overdueMs >= CANCEL_GRACE_MS) {
                entry.isExpired = true;
                this.connections.get(entry.connectionId!)?.close();
                if (entry.isAnswerBegun !== true) {
                    this.connections.handleOverdueAnswer(entry.startedAtMs ?? nowMs);
                }
            }
            else if (overdueMs >= 0 && !entry.isCanceled) {
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

const toDeadlineExceeded = (part: AnswerPart): AnswerPart =>
    part.resultCode === ResultCode.BackendLost ? { ...part, resultCode: ResultCode.DeadlineWhileRunning } : part;
