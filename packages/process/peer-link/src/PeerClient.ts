import { Client, type ClientDuplexStream, credentials } from "@grpc/grpc-js";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, type ForwardRequest, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { BatchWriter } from "./BatchWriter.ts";
import { toAnswerPart } from "./convertRequest.ts";
import { EXCHANGE_PATH, peerService } from "./peerService.ts";

const MAXIMUM_BATCH_BYTES = 512 * 1024 * 1024;
const EMPTY = new Uint8Array(0);

type PeerStream = ClientDuplexStream<pomeloturn.peer.IPeerBatch, pomeloturn.peer.PeerBatch>;

interface Outstanding {
    readonly attempt: number;
    readonly onPart: (part: AnswerPart) => void;
}

/** The stream to one peer: requests go out, answers come back in any order. */
export class PeerClient implements RequestTarget {
    private readonly client: Client;
    private readonly outstanding = new Map<number, Outstanding>();
    private stream: PeerStream | undefined;
    private readonly writer: BatchWriter;
    /** Receives the peer's reports on the instances that it holds. */
    onInstanceStatus: (status: pomeloturn.peer.IInstanceStatus) => void = () => undefined;
    /** Called for an answer that matches no outstanding attempt. */
    onUnmatchedAnswer: () => void = () => undefined;

    private constructor(address: string, private readonly vm: string) {
        this.client = new Client(address, credentials.createInsecure(), {
            "grpc.max_receive_message_length": MAXIMUM_BATCH_BYTES,
            "grpc.max_send_message_length": MAXIMUM_BATCH_BYTES,
            "grpc.use_local_subchannel_pool": 1,
        });
        this.writer = BatchWriter.create(batch => this.openStream().write(batch));
    }

    /** @param address "host:port" of the peer; @param vm name of this VM */
    static create(address: string, vm: string): PeerClient {
        return new PeerClient(address, vm);
    }

    send(request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        this.outstanding.set(request.requestId, { attempt: request.attempt, onPart });
        this.writer.add({ forward: request });
    }

    cancel(requestId: number): void {
        this.writer.add({ cancel: { requestId } });
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.writer.add({ endTransaction: { group, instance, transactionId } });
    }

    /** Asks for the state of the instances that the peer holds; the answers echo the sequence. */
    askStatus(sequence: number): void {
        this.writer.add({ statusAsk: { sequence } });
    }

    /** Opens the stream, so that the peer starts to report on its instances. */
    connect(): void {
        this.openStream();
    }

    close(): void {
        this.lose();
        this.client.close();
    }

    private openStream(): PeerStream {
        if (this.stream !== undefined) {
            return this.stream;
        }
        const { requestSerialize, responseDeserialize } = peerService.exchange;
        const stream = this.client.makeBidiStreamRequest(EXCHANGE_PATH, requestSerialize, responseDeserialize);
        this.stream = stream;
        stream.on("data", (batch: pomeloturn.peer.PeerBatch) => this.receive(batch));
        stream.on("error", () => this.loseStream(stream));
        stream.on("end", () => this.loseStream(stream));
        stream.write({ messages: [{ hello: { vm: this.vm } }] });
        return stream;
    }

    private receive(batch: pomeloturn.peer.PeerBatch): void {
        for (const message of batch.messages) {
            if (message.answer) {
                this.receiveAnswer(toAnswerPart(message.answer));
            }
            else if (message.instanceStatus) {
                this.onInstanceStatus(message.instanceStatus);
            }
        }
    }

    private receiveAnswer(part: AnswerPart): void {
        const outstanding = this.outstanding.get(part.requestId);
        if (outstanding === undefined || outstanding.attempt !== part.attempt) {
            this.onUnmatchedAnswer();
            return;
        }
        if (part.isLast) {
            this.outstanding.delete(part.requestId);
        }
        outstanding.onPart(part);
    }

    private loseStream(stream: PeerStream): void {
        if (this.stream === stream) {
            this.lose();
        }
    }

    /** Every outstanding request may or may not have run. */
    private lose(): void {
        this.stream?.cancel();
        this.stream = undefined;
        const lost = [...this.outstanding];
        this.outstanding.clear();
        for (const [requestId, { attempt, onPart }] of lost) {
            onPart({
                requestId,
                attempt,
                messages: EMPTY,
                isLast: true,
                resultCode: ResultCode.PeerLost,
                transactionStatus: TransactionStatus.Idle,
                position: { term: 0, position: 0 },
                serviceTimeUs: 0,
            });
        }
    }
}
