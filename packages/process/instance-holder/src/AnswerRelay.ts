import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readTransactionStatus } from "@pomeloturn/wire-messages/readMessage";
import { checkAcknowledge } from "./checkRequest.ts";
import { failedAnswer } from "./failedAnswer.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";

const PART_SIZE_BYTES = 64 * 1024;
/** Bytes that may be on their way to the caller before reading from the backend server pauses. */
const UNRELAYED_LIMIT_BYTES = 1024 * 1024;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Collects the answer to a request and relays it in parts, a primary's only while it may be acknowledged. */
export class AnswerRelay {
    /** State of the connection after the last ReadyForQuery. */
    status: TransactionStatus = TransactionStatus.Idle;
    /** Whether a part has been relayed. */
    isPartial = false;
    private messages: Buffer[] = [];
    private messagesBytes = 0;
    private isFenced = false;
    private unrelayedBytes = 0;
    /** Pauses or resumes reading the answer. */
    onPause: (isPaused: boolean) => void = () => undefined;
    private readonly startedAtMs: number;
    readonly term: number;

    private constructor(
        private readonly request: ForwardRequest,
        private readonly environment: InstanceEnvironment,
        private readonly onPart: (part: AnswerPart) => void,
    ) {
        this.startedAtMs = environment.nowMs();
        this.term = environment.groupView()?.term ?? 0;
    }

    static create(request: ForwardRequest, environment: InstanceEnvironment, onPart: (part: AnswerPart) => void): AnswerRelay {
        return new AnswerRelay(request, environment, onPart);
    }

    /** What has been collected and not relayed yet. */
    get collected(): Buffer {
        return Buffer.concat(this.messages);
    }

    /** Takes a message of the answer. */
    receive(message: Buffer): void {
        if (message[0] === BackendType.ReadyForQuery) {
            this.status = readTransactionStatus(message) as TransactionStatus;
            return;
        }
        this.messages.push(message);
        this.messagesBytes += message.length;
        if (this.messagesBytes >= PART_SIZE_BYTES && message[0] === BackendType.DataRow) {
            this.relayPart();
        }
    }

    /** Replaces what has been collected. */
    replace(...messages: Buffer[]): void {
        this.messages = messages;
        this.messagesBytes = messages.reduce((sum, message) => sum + message.length, 0);
    }

    /** A primary's answer counts only while the lease holds in the term that the request was sent under. */
    isAcknowledgeable(): boolean {
        if (this.request.mode === RequestMode.ReplicaRead) {
            return true;
        }
        const { environment, request } = this;
        return !this.isFenced && checkAcknowledge(request.instance, this.term, environment.groupView(), environment.nowMs());
    }

    /** Relays the last part. @param position written position; 0 when nothing is known to be written */
    finish(position: number): void {
        if (this.isAcknowledgeable()) {
            this.onPart(this.takePart(true, position));
        }
        else {
            this.fail(ResultCode.LeaseLapsed);
        }
    }

    /** Ends the answer with a numbered result. */
    fail(code: ResultCode): void {
        this.onPart({ ...failedAnswer(this.request, code), transactionStatus: this.status });
    }

    /** Rows may be told while the lease holds; what follows a lapse is withheld, and so is the answer's end. */
    private relayPart(): void {
        if (this.isAcknowledgeable()) {
            this.isPartial = true;
            const sizeBytes = this.messagesBytes;
            this.countUnrelayed(sizeBytes);
            this.onPart({ ...this.takePart(false, 0), onRelayed: () => this.countUnrelayed(-sizeBytes) });
        }
        else {
            this.isFenced = true;
            this.replace();
        }
    }

    private countUnrelayed(changeBytes: number): void {
        const wasAbove = this.unrelayedBytes > UNRELAYED_LIMIT_BYTES;
        this.unrelayedBytes += changeBytes;
        const isAbove = this.unrelayedBytes > UNRELAYED_LIMIT_BYTES;
        if (isAbove !== wasAbove) {
            this.onPause(isAbove);
        }
    }

    private takePart(isLast: boolean, position: number): AnswerPart {
        const messages = this.collected;
        this.replace();
        return {
            requestId: this.request.requestId,
            attempt: this.request.attempt,
            messages,
            isLast,
            resultCode: ResultCode.Ok,
            transactionStatus: this.status,
            position: { term: position === 0 ? 0 : this.term, position },
            serviceTimeUs: Math.round((this.environment.nowMs() - this.startedAtMs) * MICROSECONDS_PER_MILLISECOND),
        };
    }
}
