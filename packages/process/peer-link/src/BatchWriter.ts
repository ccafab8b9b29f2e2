import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";

type PeerMessage = pomeloturn.peer.IPeerMessage;

/** Collects the messages of one turn of the event loop and writes them as one batch. */
export class BatchWriter {
    private queue: PeerMessage[] = [];
    private isScheduled = false;

    private constructor(private readonly write: (messages: PeerMessage[]) => void, private isHeld: boolean) {}

    /** @param isHeld whether messages are held back until `release` is called */
    static create(write: (messages: PeerMessage[]) => void, isHeld = false): BatchWriter {
        return new BatchWriter(write, isHeld);
    }

    add(message: PeerMessage): void {
        this.queue.push(message);
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.flush());
        }
    }

    /** Writes the messages that were held back, and further ones without delay. */
    release(): void {
        this.isHeld = false;
        this.flush();
    }

    /** Drops all messages that have not been written and holds back later ones. */
    discard(): void {
        this.isHeld = true;
        this.queue = [];
    }

    private flush(): void {
        this.isScheduled = false;
        if (this.isHeld || this.queue.length === 0) {
            return;
        }
        const messages = this.queue;
        this.queue = [];
        this.write(messages);
    }
}
