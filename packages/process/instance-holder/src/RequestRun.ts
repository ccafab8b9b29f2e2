import type { BackendConnection } from "@pomeloturn/backend-connection/BackendConnection";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";
import { parseLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readFirstColumn, readTransactionStatus } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { checkLease } from "./checkRequest.ts";
import { failedAnswer } from "./failedAnswer.ts";
import type { InstanceEnvironment } from "./InstanceHolder.ts";

const REPLAYED_POSITION_QUERY = serialize.query("SELECT pg_last_wal_replay_lsn()");
const WRITTEN_POSITION_QUERY = serialize.query("SELECT pg_current_wal_insert_lsn()");
const PART_SIZE_BYTES = 64 * 1024;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** One request on one connection: the position check before it, its answer, and the position after it. */
export class RequestRun {
    private readonly mainStep: number;
    private parts: Buffer[] = [];
    private partsBytes = 0;
    private status: TransactionStatus = TransactionStatus.Idle;
    private position = 0;
    private isBehind = false;
    private startedAtMs = 0;
    private readonly term: number;

    private constructor(
        private readonly request: ForwardRequest,
        private readonly environment: InstanceEnvironment,
        private readonly onPart: (part: AnswerPart) => void,
        private readonly onComplete: (status: TransactionStatus | undefined) => void,
    ) {
        this.mainStep = this.hasPrologue() ? 1 : 0;
        this.term = environment.groupView()?.term ?? 0;
    }

    /** @param onComplete gets the connection's status, or undefined when it must be closed */
    static create(
        request: ForwardRequest,
        environment: InstanceEnvironment,
        onPart: (part: AnswerPart) => void,
        onComplete: (status: TransactionStatus | undefined) => void,
    ): RequestRun {
        return new RequestRun(request, environment, onPart, onComplete);
    }

    /** Sends the request with its position queries in one piece. */
    start(connection: BackendConnection): void {
        this.startedAtMs = this.environment.nowMs();
        const pieces: Buffer[] = [Buffer.from(this.request.messages)];
        if (this.hasPrologue()) {
            pieces.unshift(REPLAYED_POSITION_QUERY);
        }
        if (this.hasEpilogue()) {
            pieces.push(WRITTEN_POSITION_QUERY);
        }
        connection.start(Buffer.concat(pieces), pieces.length, {
            onMessage: (message, step) => this.receive(message, step),
            onDone: () => this.finish(),
            onLost: error => {
                this.onPart(failedAnswer(this.request, error.code));
                this.onComplete(undefined);
            },
        });
    }

    private hasPrologue(): boolean {
        return this.request.mode === RequestMode.ReplicaRead && this.request.requiredPosition.term !== 0;
    }

    private hasEpilogue(): boolean {
        return this.request.mode === RequestMode.PrimaryWrite;
    }

    private receive(message: Buffer, step: number): void {
        if (step === this.mainStep) {
            this.receiveMain(message);
        }
        else if (message[0] === BackendType.DataRow) {
            this.receivePosition(message, step);
        }
    }

    private receivePosition(message: Buffer, step: number): void {
        const position = parseLogSequenceNumber(readFirstColumn(message) ?? "") ?? 0;
        if (step < this.mainStep) {
            this.isBehind = position < this.request.requiredPosition.position;
        }
        else {
            this.position = position;
        }
    }

    private receiveMain(message: Buffer): void {
        if (message[0] === BackendType.ReadyForQuery) {
            this.status = readTransactionStatus(message) as TransactionStatus;
            return;
        }
        if (this.isBehind) {
            return;
        }
        this.parts.push(message);
        this.partsBytes += message.length;
        if (this.partsBytes >= PART_SIZE_BYTES && message[0] === BackendType.DataRow) {
            this.onPart(this.takePart(false));
        }
    }

    private finish(): void {
        this.onPart(this.lastPart());
        this.onComplete(this.status);
    }

    private lastPart(): AnswerPart {
        if (this.isBehind) {
            return failedAnswer(this.request, ResultCode.ReplicaBehind);
        }
        if (!this.isAcknowledgeable()) {
            return { ...failedAnswer(this.request, ResultCode.LeaseLapsed), transactionStatus: this.status };
        }
        return this.takePart(true);
    }

    /** A primary's answer counts only while the lease holds in the term that the request was sent under. */
    private isAcknowledgeable(): boolean {
        if (this.request.mode === RequestMode.ReplicaRead) {
            return true;
        }
        const view = this.environment.groupView();
        return view !== undefined && view.term === this.term && view.primary === this.request.instance
            && checkLease(view, this.environment.nowMs());
    }

    private takePart(isLast: boolean): AnswerPart {
        const messages = Buffer.concat(this.parts);
        this.parts = [];
        this.partsBytes = 0;
        return {
            requestId: this.request.requestId,
            attempt: this.request.attempt,
            messages,
            isLast,
            resultCode: ResultCode.Ok,
            transactionStatus: this.status,
            position: { term: this.position === 0 ? 0 : this.term, position: this.position },
            serviceTimeUs: Math.round((this.environment.nowMs() - this.startedAtMs) * MICROSECONDS_PER_MILLISECOND),
        };
    }
}
