interface ScheduledEvent {
    readonly atMs: number;
    readonly number: number;
    readonly run: () => void;
}

const isBefore = (one: ScheduledEvent, other: ScheduledEvent): boolean =>
    one.atMs < other.atMs || (one.atMs === other.atMs && one.number < other.number);

/** Events in virtual time: a binary heap, with events of the same time in the order in which they were scheduled. */
export class VirtualTime {
    nowMs = 0;
    private readonly heap: ScheduledEvent[] = [];
    private scheduledCount = 0;

    private constructor() {}

    static create(): VirtualTime {
        return new VirtualTime();
    }

    after(delayMs: number, run: () => void): void {
        const event = { atMs: this.nowMs + Math.max(0, delayMs), number: this.scheduledCount++, run };
        const { heap } = this;
        let index = heap.push(event) - 1;
        while (index > 0 && isBefore(event, heap[(index - 1) >> 1]!)) {
            heap[index] = heap[(index - 1) >> 1]!;
            index = (index - 1) >> 1;
        }
        heap[index] = event;
    }

    runUntil(endMs: number): void {
        for (let first = this.heap[0]; first !== undefined && first.atMs <= endMs; first = this.heap[0]) {
            this.removeFirst();
            this.nowMs = first.atMs;
            first.run();
        }
        this.nowMs = endMs;
    }

    private removeFirst(): void {
        const { heap } = this;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        let index = 0;
        for (let child = 1; child < heap.length; child = 2 * index + 1) {
            if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
                child++;
            }
            if (!isBefore(heap[child]!, last)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        heap[index] = last;
    }
}

/** Pseudo-random numbers from 0 to 1 (mulberry32). */
export const createRandom = (seed: number): () => number => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};
