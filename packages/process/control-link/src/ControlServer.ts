import { Server, type ServerDuplexStream } from "@grpc/grpc-js";
import { bindServer } from "@pomeloturn/bind-server/bindServer";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { CHANNEL_OPTIONS } from "./channelOptions.ts";
import { ControlBatchWriter } from "./ControlBatchWriter.ts";
import { controlService } from "./controlService.ts";

type Stream = ServerDuplexStream<pomeloturn.control.ControlBatch, pomeloturn.control.IControlBatch>;

/** Callbacks for a stream that another process opened. */
export interface IncomingHandler {
    onMessage(message: pomeloturn.control.IControlMessage): void;
    onLost(): void;
}

/** Accepts the streams of other controllers and of the VM's own proxy. */
export class ControlServer {
    private readonly server = new Server(CHANNEL_OPTIONS);

    /** @param accept called with the Hello of a stream; returns the handler of its further messages */
    private constructor(private readonly accept: (hello: pomeloturn.control.IHello, writer: ControlBatchWriter) => IncomingHandler) {
        this.server.addService(controlService, { exchange: (stream: Stream) => this.receive(stream) });
    }

    static create(accept: (hello: pomeloturn.control.IHello, writer: ControlBatchWriter) => IncomingHandler): ControlServer {
        return new ControlServer(accept);
    }

    /** @returns the port that was bound */
    listen(host: string, port: number): Promise<number> {
        return bindServer(this.server, host, port);
    }

    close(): void {
        this.server.forceShutdown();
    }

    private receive(stream: Stream): void {
        const writer = ControlBatchWriter.create(stream);
        let handler: IncomingHandler | undefined;
        stream.on("data", (batch: pomeloturn.control.ControlBatch) => {
            for (const message of batch.messages) {
                if (message.hello && handler === undefined) {
                    handler = this.accept(message.hello, writer);
                }
                else {
                    handler?.onMessage(message);
                }
            }
        });
        const handleStreamLost = (): void => {
            handler?.onLost();
            handler = undefined;
        };
        stream.on("end", () => {
            stream.end();
            handleStreamLost();
        });
        stream.on("error", handleStreamLost);
        stream.on("cancelled", handleStreamLost);
    }
}
