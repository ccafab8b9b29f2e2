import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";

/** Collects the messages of one turn of the event loop and writes them as one batch. */
export class BatchWriter {
    private queue: pomeloturn.peer.IPeerMessage[] = [];

    private constructor(private readonly write: (batch: pomeloturn.peer.IPeerBatch) => void) {}

    static create(write: (batch: pomeloturn.peer.IPeerBatch) => void): BatchWriter {
        return new BatchWriter(write);
    }

    add(message: pomeloturn.peer.IPeerMessage): void {
        this.queue.push(message);
        if (this.queue.length === 1) {
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        const messages = this.queue;
        this.queue = [];
        this.write({ messages });
    }
}
