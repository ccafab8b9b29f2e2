import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";

/** The two ends' streams have this in common. */
interface BatchStream {
    write(batch: pomeloturn.control.IControlBatch): boolean;
    readonly destroyed: boolean;
    readonly writableLength: number;
}

/** Batches that may wait for a receiver; more are dropped, since all messages are repeated or asked for anew. */
const QUEUE_LIMIT_BATCHES = 1_000;

/** Writes the messages of one turn of the event loop as one batch. */
export class ControlStream {
    private queue: pomeloturn.control.IControlMessage[] = [];

    private constructor(private readonly stream: BatchStream) {}

    static create(stream: BatchStream): ControlStream {
        return new ControlStream(stream);
    }

    send(message: pomeloturn.control.IControlMessage): void {
        this.queue.push(message);
        if (this.queue.length === 1) {
            setImmediate(() => this.flush());
        }
    }

    /** Writes what is queued, without waiting for the end of the turn. */
    flush(): void {
        const messages = this.queue;
        this.queue = [];
        if (messages.length > 0 && !this.stream.destroyed && this.stream.writableLength < QUEUE_LIMIT_BATCHES) {
            this.stream.write({ messages });
        }
    }
}
