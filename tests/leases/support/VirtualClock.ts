/** Virtual time with a queue of scheduled callbacks, and a seeded source of random numbers. */
export class VirtualClock {
    nowMs = 0;
    private readonly queue: { atMs: number; sequence: number; run: () => void; }[] = [];
    private sequence = 0;
    private seed: number;

    constructor(seed: number) {
        this.seed = seed >>> 0;
    }

    /** Returns the next number of the mulberry32 generator, at least 0 and less than 1. */
    random(): number {
        this.seed = (this.seed + 0x6d2b79f5) >>> 0;
        let value = this.seed;
        value = Math.imul(value ^ (value >>> 15), value | 1);
        value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    }

    at(atMs: number, run: () => void): void {
        const { queue } = this;
        queue.push({ atMs: Math.max(atMs, this.nowMs), sequence: this.sequence++, run });
        let index = queue.length - 1;
        while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    after(delayMs: number, run: () => void): void {
        this.at(this.nowMs + delayMs, run);
    }

    every(intervalMs: number, run: () => void): void {
        this.after(intervalMs, () => {
            run();
            this.every(intervalMs, run);
        });
    }

    runUntil(endMs: number): void {
        while (this.queue.length > 0 && this.queue[0]!.atMs <= endMs) {
            const { atMs, run } = this.pop();
            this.nowMs = atMs;
            run();
        }
        this.nowMs = endMs;
    }

    /** Like `runUntil`, and completes the promises that each callback settles before the next one runs. */
    async runSettledUntil(endMs: number): Promise<void> {
        while (this.queue.length > 0 && this.queue[0]!.atMs <= endMs) {
            const { atMs, run } = this.pop();
            this.nowMs = atMs;
            run();
            await new Promise(resolve => setImmediate(resolve));
        }
        this.nowMs = endMs;
    }

    private pop(): { atMs: number; run: () => void; } {
        const { queue } = this;
        this.swap(0, queue.length - 1);
        const top = queue.pop()!;
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const child = left + 1 < queue.length && this.isBefore(left + 1, left) ? left + 1 : left;
            if (child >= queue.length || !this.isBefore(child, index)) {
                return top;
            }
            this.swap(child, index);
            index = child;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const a = this.queue[left]!;
        const b = this.queue[right]!;
        return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
    }

    private swap(left: number, right: number): void {
        [this.queue[left], this.queue[right]] = [this.queue[right]!, this.queue[left]!];
    }
}
