import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { BatchWriter } from "./BatchWriter.ts";
import { toForwardRequest } from "./convertRequest.ts";

type PeerMessage = pomeloturn.peer.IPeerMessage;
export type ServerStream = ServerDuplexStream<pomeloturn.peer.PeerBatch, pomeloturn.peer.IPeerBatch>;

/** Dependencies of a served stream. */
export interface ServedStreamOptions {
    readonly target: RequestTarget;
    onStatusRequest(vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void): void;
}

/** A transaction of the peer that is open, or that a running request may open. */
interface PeerTransaction {
    readonly group: string;
    readonly instance: string;
    /** Whether the peer has ended the transaction or disconnected. */
    isEnded: boolean;
}

/** Server side of one peer's stream: passes its requests to the local holders and ends its transactions when the stream ends. */
export class ServedStream {
    readonly writer: BatchWriter;
    private readonly transactions = new Map<string, PeerTransaction>();
    /** Callbacks of answer parts that the peer's callers have not yet received, by request id. */
    private readonly pendingRelays = new Map<number, (() => void)[]>();
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

    /**
     * Rolls back the peer's open transactions after its stream has ended. A transaction that a running request still
     * opens is rolled back when that request answers.
     */
    end(): void {
        this.isEnded = true;
        for (const [transactionId, transaction] of this.transactions) {
            this.endTransaction(transactionId, transaction);
        }
        for (const requestId of this.pendingRelays.keys()) {
            this.releasePendingRelays(requestId);
        }
    }

    private receive(message: PeerMessage): void {
        if (message.forward) {
            this.forward(message.forward);
        }
        else if (message.relayed) {
            this.pendingRelays.get(message.relayed.requestId ?? 0)?.shift()?.();
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
            this.options.onStatusRequest(this.vm, status => this.writer.add({ instanceStatus: { ...status, sequence } }));
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
            this.pendingRelays.delete(part.requestId);
            this.updateTransaction(part, transactionId);
        }
        else if (part.onRelayed !== undefined) {
            this.addPendingRelay(part.requestId, part.onRelayed);
        }
        this.writer.add({ answer: part });
    }

    private addPendingRelay(requestId: number, onRelayed: () => void): void {
        const parts = this.pendingRelays.get(requestId) ?? [];
        parts.push(onRelayed);
        this.pendingRelays.set(requestId, parts);
        if (this.isEnded) {
            this.releasePendingRelays(requestId);
        }
    }

    private releasePendingRelays(requestId: number): void {
        const parts = this.pendingRelays.get(requestId) ?? [];
        this.pendingRelays.delete(requestId);
        parts.forEach(onRelayed => onRelayed());
    }

    /** Removes a finished transaction, and ends one that opened after the peer had ended it or disconnected. */
    private updateTransaction(part: AnswerPart, transactionId: string): void {
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
