import { Client, type ClientDuplexStream, credentials } from "@grpc/grpc-js";
import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import { CHANNEL_OPTIONS } from "./channelOptions.ts";
import { ControlBatchWriter } from "./ControlBatchWriter.ts";
import { CONTROL_PATH, controlService } from "./controlService.ts";

type Stream = ClientDuplexStream<pomeloturn.control.IControlBatch, pomeloturn.control.ControlBatch>;

/** Address and callbacks of a client. */
export interface ControlClientOptions {
    /** "host:port" of the controller. */
    readonly address: string;
    /** Returns the first message of each stream. */
    hello(): pomeloturn.control.IHello;
    onMessage(message: pomeloturn.control.IControlMessage): void;
    /** Called when a stream ends. The next message opens a new one. */
    onLost(): void;
}

/** Client side of a stream that this process opens to a controller. */
export class ControlClient {
    private readonly client: Client;
    private stream: Stream | undefined;
    private writer: ControlBatchWriter | undefined;

    private constructor(private readonly options: ControlClientOptions) {
        this.client = new Client(options.address, credentials.createInsecure(), CHANNEL_OPTIONS);
    }

    static create(options: ControlClientOptions): ControlClient {
        return new ControlClient(options);
    }

    /** Opens the stream if it is not open. */
    connect(): void {
        this.open();
    }

    send(message: pomeloturn.control.IControlMessage): void {
        this.open().send(message);
    }

    close(): void {
        this.writer?.flush();
        this.stream?.end();
        this.client.close();
        this.stream = undefined;
        this.writer = undefined;
    }

    private open(): ControlBatchWriter {
        if (this.writer !== undefined) {
            return this.writer;
        }
        const { requestSerialize, responseDeserialize } = controlService.exchange;
        const stream: Stream = this.client.makeBidiStreamRequest(CONTROL_PATH, requestSerialize, responseDeserialize);
        const writer = ControlBatchWriter.create(stream);
        this.stream = stream;
        this.writer = writer;
        stream.on("data", (batch: pomeloturn.control.ControlBatch) => batch.messages.forEach(message => this.options.onMessage(message)));
        stream.on("error", () => this.handleStreamLost(stream));
        stream.on("end", () => this.handleStreamLost(stream));
        writer.send({ hello: this.options.hello() });
        return writer;
    }

    private handleStreamLost(stream: Stream): void {
        if (this.stream === stream) {
            stream.cancel();
            this.stream = undefined;
            this.writer = undefined;
            this.options.onLost();
        }
    }
}
