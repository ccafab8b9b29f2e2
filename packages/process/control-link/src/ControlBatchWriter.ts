import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";

/** Common interface of the client's and the server's gRPC stream. */
interface BatchStream {
    write(batch: pomeloturn.control.IControlBatch): boolean;
    readonly destroyed: boolean;
    readonly writableLength: number;
}

/** Batches that may be queued for a slow receiver. Further ones are dropped, since every message is repeated or requested again. */
const QUEUE_LIMIT_BATCHES = 1_000;

/** Collects the messages of one turn of the event loop and writes them as one batch. */
export class ControlBatchWriter {
    private queue: pomeloturn.control.IControlMessage[] = [];

    private constructor(private readonly stream: BatchStream) {}

    static create(stream: BatchStream): ControlBatchWriter {
        return new ControlBatchWriter(stream);
    }

    send(message: pomeloturn.control.IControlMessage): void {
        this.queue.push(message);
        if (this.queue.length === 1) {
            setImmediate(() => this.flush());
        }
    }

    /** Writes the queued messages at once. Drops them if the stream is closed or its queue is full. */
    flush(): void {
        const messages = this.queue;
        this.queue = [];
        if (messages.length > 0 && !this.stream.destroyed && this.stream.writableLength < QUEUE_LIMIT_BATCHES) {
            this.stream.write({ messages });
        }
    }
}
