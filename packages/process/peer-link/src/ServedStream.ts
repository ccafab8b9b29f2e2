import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { BatchWriter } from "./BatchWriter.ts";
import { toForwardRequest } from "./convertRequest.ts";

type PeerMessage = pomeloturn.peer.IPeerMessage;
export type ServerStream = ServerDuplexStream<pomeloturn.peer.PeerBatch, pomeloturn.peer.IPeerBatch>;

/** What a served stream works with. */
export interface ServedStreamOptions {
    readonly target: RequestTarget;
    onStatusAsk(vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void): void;
}

/** A transaction of the peer that is open or may be opened by a request that is running. */
interface PeerTransaction {
    readonly group: string;
    readonly instance: string;
    /** Whether the peer wants it no more. */
    isEnded: boolean;
}

/** One peer's stream: hands its requests to the local holders and cleans up after it. */
export class ServedStream {
    readonly writer: BatchWriter;
    private readonly transactions = new Map<string, PeerTransaction>();
    /** Parts that the peer's callers have yet to take, by request. */
    private readonly unrelayed = new Map<number, (() => void)[]>();
    private isEnded = false;
    private vm = "";

    private constructor(stream: ServerStream, private readonly options: ServedStreamOptions) {
        this.writer = BatchWriter.create(messages => {
            if (!this.isEnded) {
                stream.write({ messages });
            }
        });
        this.writer.add({ hello: {} });
        stream.on("data", (batch: pomeloturn.peer.PeerBatch) => batch.messages.forEach(message => this.receive(message)));
    }

    static create(stream: ServerStream, options: ServedStreamOptions): ServedStream {
        return new ServedStream(stream, options);
    }

    /** The peer is gone: rolls back what it left open. What still runs is rolled back when it answers. */
    end(): void {
        this.isEnded = true;
        for (const [transactionId, transaction] of this.transactions) {
            this.endTransaction(transactionId, transaction);
        }
        for (const requestId of this.unrelayed.keys()) {
            this.takeRelayed(requestId);
        }
    }

    private receive(message: PeerMessage): void {
        if (message.forward) {
            this.forward(message.forward);
        }
        else if (message.relayed) {
            this.unrelayed.get(message.relayed.requestId ?? 0)?.shift()?.();
        }
        else if (message.endTransaction) {
            const { group, instance, transactionId } = message.endTransaction;
            const id = transactionId ?? "";
            this.endTransaction(id, this.transactions.get(id) ?? { group: group ?? "", instance: instance ?? "", isEnded: false });
        }
        else if (message.cancel) {
            this.options.target.cancel(message.cancel.requestId ?? 0, this.vm);
        }
        else if (message.statusAsk) {
            const sequence = message.statusAsk.sequence ?? 0;
            this.options.onStatusAsk(this.vm, status => this.writer.add({ instanceStatus: { ...status, sequence } }));
        }
        this.vm = message.hello?.vm ?? this.vm;
    }

    private forward(message: pomeloturn.peer.IForward): void {
        const request = toForwardRequest(message);
        const { transactionId, group, instance } = request;
        if (transactionId !== "" && !this.transactions.has(transactionId)) {
            this.transactions.set(transactionId, { group, instance, isEnded: false });
        }
        this.options.target.send(request, part => this.answer(part, transactionId), this.vm);
    }

    private answer(part: AnswerPart, transactionId: string): void {
        if (part.isLast) {
            this.unrelayed.delete(part.requestId);
            this.settleTransaction(part, transactionId);
        }
        else if (part.onRelayed !== undefined) {
            this.holdPart(part.requestId, part.onRelayed);
        }
        this.writer.add({ answer: part });
    }

    private holdPart(requestId: number, onRelayed: () => void): void {
        const parts = this.unrelayed.get(requestId) ?? [];
        parts.push(onRelayed);
        this.unrelayed.set(requestId, parts);
        if (this.isEnded) {
            this.takeRelayed(requestId);
        }
    }

    private takeRelayed(requestId: number): void {
        const parts = this.unrelayed.get(requestId) ?? [];
        this.unrelayed.delete(requestId);
        parts.forEach(onRelayed => onRelayed());
    }

    /** A transaction that opened after the peer had ended it, or had gone, is ended now. */
    private settleTransaction(part: AnswerPart, transactionId: string): void {
        const transaction = this.transactions.get(transactionId);
        if (transaction === undefined) {
            return;
        }
        if (part.transactionStatus === TransactionStatus.Idle) {
            this.transactions.delete(transactionId);
        }
        else if (transaction.isEnded) {
            this.endTransaction(transactionId, transaction);
            this.transactions.delete(transactionId);
        }
    }

    private endTransaction(transactionId: string, transaction: PeerTransaction): void {
        transaction.isEnded = true;
        this.options.target.endTransaction(transaction.group, transaction.instance, transactionId);
    }
}
