import { Client, type ClientDuplexStream, credentials } from "@grpc/grpc-js";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import { type AnswerPart, type ForwardRequest, type RequestTarget, TransactionStatus } from "@pomeloturn/types/Request";
import { BatchWriter } from "./BatchWriter.ts";
import { CHANNEL_OPTIONS } from "./channelOptions.ts";
import { toAnswerPart } from "./convertRequest.ts";
import { EXCHANGE_PATH, peerService } from "./peerService.ts";

/** Time within which a peer must send its Hello on a new stream. */
const HELLO_TIMEOUT_MS = 1_500;
const EMPTY_BYTES = new Uint8Array(0);

type PeerMessage = pomeloturn.peer.IPeerMessage;
type DuplexStream = ClientDuplexStream<pomeloturn.peer.IPeerBatch, pomeloturn.peer.PeerBatch>;

interface OutstandingRequest {
    readonly attempt: number;
    readonly onPart: (part: AnswerPart) => void;
    /** Whether the request was written to an open stream and may therefore have run. */
    isWritten: boolean;
}

interface OpenStream {
    readonly duplex: DuplexStream;
    readonly writer: BatchWriter;
    readonly helloTimer: NodeJS.Timeout;
}

/** Client side of the stream to one peer. Answers may arrive in any order. */
export class PeerClient implements RequestTarget {
    private readonly client: Client;
    private readonly outstanding = new Map<number, OutstandingRequest>();
    private stream: OpenStream | undefined;
    /** Called with the status of an instance that the peer holds. */
    onInstanceStatus: (status: pomeloturn.peer.IInstanceStatus) => void = () => undefined;
    /** Called for an answer that matches no outstanding attempt. */
    onUnmatchedAnswer: () => void = () => undefined;

    private constructor(address: string, private readonly vm: string) {
        this.client = new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    }

    /** @param address "host:port" of the peer; @param vm name of this VM */
    static create(address: string, vm: string): PeerClient {
        return new PeerClient(address, vm);
    }

    /** Sends an attempt of a request. A new attempt replaces the earlier one, whose answer is then dropped. */
    send(request: ForwardRequest, onPart: (part: AnswerPart) => void): void {
        this.outstanding.set(request.requestId, { attempt: request.attempt, onPart, isWritten: false });
        this.write({ forward: request });
    }

    cancel(requestId: number): void {
        this.write({ cancel: { requestId } });
    }

    endTransaction(group: string, instance: string, transactionId: string): void {
        this.write({ endTransaction: { group, instance, transactionId } });
    }

    /** Requests the status of the instances that the peer holds. The answers repeat the sequence. */
    requestStatus(sequence: number): void {
        this.write({ statusAsk: { sequence } });
    }

    /** Opens the stream in advance, so that the first request does not wait for it. */
    connect(): void {
        this.openStream();
    }

    close(): void {
        this.resetStream();
        this.client.close();
    }

    private write(message: PeerMessage): void {
        this.openStream().writer.add(message);
    }

    private openStream(): OpenStream {
        this.stream ??= this.createStream();
        return this.stream;
    }

    /**
     * Opens a stream that holds messages back until the peer's Hello. Requests that are still held back when the
     * connection fails cannot have run.
     */
    private createStream(): OpenStream {
        const { requestSerialize, responseDeserialize } = peerService.exchange;
        const duplex = this.client.makeBidiStreamRequest(EXCHANGE_PATH, requestSerialize, responseDeserialize);
        duplex.on("data", (batch: pomeloturn.peer.PeerBatch) => this.receive(batch, duplex));
        duplex.on("error", () => this.handleStreamLost(duplex));
        duplex.on("end", () => this.handleStreamLost(duplex));
        duplex.write({ messages: [{ hello: { vm: this.vm } }] });
        const helloTimer = setTimeout(() => this.handleStreamLost(duplex), HELLO_TIMEOUT_MS);
        helloTimer.unref();
        return { duplex, helloTimer, writer: BatchWriter.create(messages => this.writeBatch(duplex, messages), true) };
    }

    private writeBatch(duplex: DuplexStream, messages: PeerMessage[]): void {
        for (const { forward } of messages) {
            const outstanding = this.outstanding.get(forward?.requestId ?? 0);
            if (outstanding !== undefined && outstanding.attempt === forward?.attempt) {
                outstanding.isWritten = true;
            }
        }
        duplex.write({ messages });
    }

    private receive(batch: pomeloturn.peer.PeerBatch, duplex: DuplexStream): void {
        if (this.stream?.duplex !== duplex) {
            return;
        }
        for (const message of batch.messages) {
            if (message.answer) {
                this.receiveAnswer(toAnswerPart(message.answer));
            }
            else if (message.instanceStatus) {
                this.onInstanceStatus(message.instanceStatus);
            }
            else if (message.hello) {
                clearTimeout(this.stream.helloTimer);
                this.stream.writer.release();
            }
        }
    }

    private receiveAnswer(part: AnswerPart): void {
        const { requestId, attempt, isLast } = part;
        const outstanding = this.outstanding.get(requestId);
        const onRelayed = (): void => this.write({ relayed: { requestId, attempt } });
        if (outstanding === undefined || outstanding.attempt !== attempt) {
            this.onUnmatchedAnswer();
            if (!isLast) {
                onRelayed();
            }
            return;
        }
        if (isLast) {
            this.outstanding.delete(requestId);
        }
        outstanding.onPart(isLast ? part : { ...part, onRelayed });
    }

    private handleStreamLost(duplex: DuplexStream): void {
        if (this.stream?.duplex === duplex) {
            this.resetStream();
        }
    }

    /**
     * Closes the stream and ends every outstanding request with `PeerLost` if it was written and may have run, or else
     * with `PeerUnreachable`.
     */
    private resetStream(): void {
        const stream = this.stream;
        this.stream = undefined;
        if (stream !== undefined) {
            clearTimeout(stream.helloTimer);
            stream.writer.discard();
            stream.duplex.cancel();
        }
        const lost = [...this.outstanding];
        this.outstanding.clear();
        for (const [requestId, { attempt, onPart, isWritten }] of lost) {
            onPart({
                requestId,
                attempt,
                messages: EMPTY_BYTES,
                isLast: true,
                resultCode: isWritten ? ResultCode.PeerLost : ResultCode.PeerUnreachable,
                transactionStatus: TransactionStatus.Idle,
                position: { term: 0, position: 0 },
                serviceTimeUs: 0,
            });
        }
    }
}
