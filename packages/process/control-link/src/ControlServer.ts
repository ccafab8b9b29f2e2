import { Server, type ServerDuplexStream } from "@grpc/grpc-js";
import { bindServer } from "@pomeloturn/bind-server/bindServer";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { CHANNEL_OPTIONS } from "./channelOptions.ts";
import { controlService } from "./controlService.ts";
import { ControlStream } from "./ControlStream.ts";

type Stream = ServerDuplexStream<pomeloturn.control.ControlBatch, pomeloturn.control.IControlBatch>;

/** What the server does with a stream that another process opened. */
export interface IncomingHandler {
    onMessage(message: pomeloturn.control.IControlMessage): void;
    onLost(): void;
}

/** Accepts the streams of other controllers and of the VM's proxy. */
export class ControlServer {
    private readonly server = new Server(CHANNEL_OPTIONS);

    /** @param accept called with the first message of a stream */
    private constructor(private readonly accept: (hello: pomeloturn.control.IHello, writer: ControlStream) => IncomingHandler) {
        this.server.addService(controlService, { exchange: (stream: Stream) => this.receive(stream) });
    }

    static create(accept: (hello: pomeloturn.control.IHello, writer: ControlStream) => IncomingHandler): ControlServer {
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
        const writer = ControlStream.create(stream);
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
        const lose = (): void => {
            handler?.onLost();
            handler = undefined;
        };
        stream.on("end", () => {
            stream.end();
            lose();
        });
        stream.on("error", lose);
        stream.on("cancelled", lose);
    }
}
