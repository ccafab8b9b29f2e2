import TinyQueue from "tinyqueue";

interface TimedEvent {
    readonly atMs: number;
    readonly sequence: number;
    run(nowMs: number): void;
}

/** Event queue in virtual time. Events at the same time run in the order in which they were added. */
export class EventQueue {
    private readonly queue = new TinyQueue<TimedEvent>([], (left, right) => left.atMs - right.atMs || left.sequence - right.sequence);
    private nextSequence = 0;

    private constructor() {}

    static create(): EventQueue {
        return new EventQueue();
    }

    schedule(atMs: number, run: (nowMs: number) => void): void {
        this.queue.push({ atMs, sequence: this.nextSequence++, run });
    }

    /** Runs events in order of time up to and including `untilMs`. */
    run(untilMs: number): void {
        for (let event = this.queue.peek(); event !== undefined && event.atMs <= untilMs; event = this.queue.peek()) {
            this.queue.pop();
            event.run(event.atMs);
        }
    }
}
