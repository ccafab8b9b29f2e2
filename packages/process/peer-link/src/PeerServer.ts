import { Server, ServerCredentials, type ServerDuplexStream } from "@grpc/grpc-js";
import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { RequestTarget } from "@pomeloturn/types/Request";
import { BatchWriter } from "./BatchWriter.ts";
import { toForwardRequest } from "./convertRequest.ts";
import { peerService } from "./peerService.ts";

const MAXIMUM_BATCH_BYTES = 512 * 1024 * 1024;

type PeerStream = ServerDuplexStream<pomeloturn.peer.PeerBatch, pomeloturn.peer.IPeerBatch>;

/** Accepts the streams of the other proxies and hands their requests to the local holders. */
export class PeerServer {
    private readonly server: Server;
    private readonly writers = new Set<BatchWriter>();
    /** Answers a peer's ask for the state of the instances that this VM holds. */
    onStatusAsk: (vm: string, onStatus: (status: pomeloturn.peer.IInstanceStatus) => void) => void = () => undefined;

    private constructor(private readonly target: RequestTarget) {
        this.server = new Server({
            "grpc.max_receive_message_length": MAXIMUM_BATCH_BYTES,
            "grpc.max_send_message_length": MAXIMUM_BATCH_BYTES,
        });
        this.server.addService(peerService, { exchange: (stream: PeerStream) => this.accept(stream) });
    }

    static create(target: RequestTarget): PeerServer {
        return new PeerServer(target);
    }

    /** @returns the port that was bound */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
                if (error === null) {
                    resolve(boundPort);
                }
                else {
                    reject(error);
                }
            });
        });
    }

    /** Tells all connected proxies the state of an instance. */
    broadcast(status: pomeloturn.peer.IInstanceStatus): void {
        for (const writer of this.writers) {
            writer.add({ instanceStatus: status });
        }
    }

    close(): void {
        this.server.forceShutdown();
    }

    private accept(stream: PeerStream): void {
        const writer = BatchWriter.create(batch => {
            if (!stream.destroyed) {
                stream.write(batch);
            }
        });
        this.writers.add(writer);
        const openTransactions = new Map<string, pomeloturn.peer.IEndTransaction>();
        let peerVm = "";
        stream.on("data", (batch: pomeloturn.peer.PeerBatch) => {
            for (const message of batch.messages) {
                peerVm = message.hello?.vm ?? peerVm;
                if (message.statusAsk) {
                    const { sequence } = message.statusAsk;
                    this.onStatusAsk(peerVm, status => writer.add({ instanceStatus: { ...status, sequence: sequence ?? 0 } }));
                }
                this.receive(message, peerVm, writer, openTransactions);
            }
        });
        const end = (): void => {
            this.writers.delete(writer);
            this.endTransactions(openTransactions);
        };
        stream.on("end", () => {
            stream.end();
            end();
        });
        stream.on("error", end);
        stream.on("cancelled", end);
    }

    private receive(
        message: pomeloturn.peer.IPeerMessage,
        peerVm: string,
        writer: BatchWriter,
        openTransactions: Map<string, pomeloturn.peer.IEndTransaction>,
    ): void {
        if (message.forward) {
            const request = toForwardRequest(message.forward);
            const { transactionId, group, instance } = request;
            if (transactionId !== "") {
                openTransactions.set(transactionId, { group, instance, transactionId });
            }
            this.target.send(request, part => {
                if (part.isLast && part.transactionStatus === "I") {
                    openTransactions.delete(transactionId);
                }
                writer.add({ answer: part });
            }, peerVm);
        }
        else if (message.cancel) {
            this.target.cancel(message.cancel.requestId ?? 0, peerVm);
        }
        else if (message.endTransaction) {
            const { group, instance, transactionId } = message.endTransaction;
            this.target.endTransaction(group ?? "", instance ?? "", transactionId ?? "");
        }
    }

    /** Rolls back what the peer left open when its stream ended. */
    private endTransactions(openTransactions: Map<string, pomeloturn.peer.IEndTransaction>): void {
        for (const { group, instance, transactionId } of openTransactions.values()) {
            this.target.endTransaction(group ?? "", instance ?? "", transactionId ?? "");
        }
        openTransactions.clear();
    }
}
