interface QueuedEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** Events of a simulation, which run in order of their virtual time; those of one time in the order in which they were added. */
export class EventQueue {
    nowMs = 0;
    private readonly events: QueuedEvent[] = [];

    private constructor() {}

    static create(): EventQueue {
        return new EventQueue();
    }

    add(atMs: number, run: () => void): void {
        let [from, to] = [0, this.events.length];
        while (from < to) {
            const middle = (from + to) >> 1;
            [from, to] = this.events[middle]!.atMs <= atMs ? [middle + 1, to] : [from, middle];
        }
        this.events.splice(from, 0, { atMs, run });
    }

    run(untilMs: number): void {
        while (this.events.length > 0 && this.events[0]!.atMs <= untilMs) {
            const { atMs, run } = this.events.shift()!;
            this.nowMs = atMs;
            run();
        }
    }
}
