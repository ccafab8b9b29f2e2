import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readTransactionStatus } from "@pomeloturn/wire-messages/readMessage";
import { isAcknowledgementAllowed } from "./checkRequest.ts";
import { failedAnswer } from "./failedAnswer.ts";
import type { InstanceEnvironment } from "./InstanceEnvironment.ts";

const PART_SIZE_BYTES = 64 * 1024;
/** Bytes that may be relayed and not yet delivered to the caller before reading from the backend server pauses. */
const UNDELIVERED_LIMIT_BYTES = 1024 * 1024;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Buffers the answer to a request and relays it in parts. An answer of a primary is relayed only while the lease is valid. */
export class AnswerRelay {
    /** Transaction status in the last ReadyForQuery message of the connection. */
    status: TransactionStatus = TransactionStatus.Idle;
    /** Whether a part before the last one has been relayed. */
    hasRelayedPart = false;
    private messages: Buffer[] = [];
    private messagesBytes = 0;
    private isFenced = false;
    private undeliveredBytes = 0;
    /** Called to pause or resume reading the answer from the backend server. */
    onPause: (isPaused: boolean) => void = () => undefined;
    private readonly startedAtMs: number;
    /** Term of the group when the request was sent; 0 when this VM had no view of the group. */
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

    /** Messages that have been buffered and not relayed yet. */
    get bufferedMessages(): Buffer {
        return Buffer.concat(this.messages);
    }

    /** Adds a message of the answer, and relays a part once the buffer has reached the part size. */
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

    /** Replaces the buffered messages. */
    replace(...messages: Buffer[]): void {
        this.messages = messages;
        this.messagesBytes = messages.reduce((sum, message) => sum + message.length, 0);
    }

    /** Whether the answer may be relayed: a primary's only while the lease is valid in the term in which the request was sent. */
    isAcknowledgeable(): boolean {
        if (this.request.mode === RequestMode.ReplicaRead) {
            return true;
        }
        const { environment, request } = this;
        return !this.isFenced && isAcknowledgementAllowed(request.instance, this.term, environment.groupView(), environment.nowMs());
    }

    /** Relays the last part, or fails when the lease has lapsed. @param position written position; 0 when no write is known */
    finish(position: number): void {
        if (this.isAcknowledgeable()) {
            this.onPart(this.takePart(true, position));
        }
        else {
            this.fail(ResultCode.LeaseLapsed);
        }
    }

    /** Ends the answer with a result code in place of the buffered messages. */
    fail(code: ResultCode): void {
        this.onPart({ ...failedAnswer(this.request, code), transactionStatus: this.status });
    }

    /** Relays the buffered rows while the lease is valid. After a lapse, the remaining rows and the end of the answer are withheld. */
    private relayPart(): void {
        if (this.isAcknowledgeable()) {
            this.hasRelayedPart = true;
            const sizeBytes = this.messagesBytes;
            this.changeUndelivered(sizeBytes);
            this.onPart({ ...this.takePart(false, 0), onRelayed: () => this.changeUndelivered(-sizeBytes) });
        }
        else {
            this.isFenced = true;
            this.replace();
        }
    }

    private changeUndelivered(changeBytes: number): void {
        const wasAbove = this.undeliveredBytes > UNDELIVERED_LIMIT_BYTES;
        this.undeliveredBytes += changeBytes;
        const isAbove = this.undeliveredBytes > UNDELIVERED_LIMIT_BYTES;
        if (isAbove !== wasAbove) {
            this.onPause(isAbove);
        }
    }

    private takePart(isLast: boolean, position: number): AnswerPart {
        const messages = this.bufferedMessages;
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
