/** Virtual time with a queue of what happens next, and a seeded source of random numbers. */
export class VirtualClock {
    nowMs = 0;
    private readonly heap: { atMs: number; order: number; run: () => void; }[] = [];
    private order = 0;
    private seed: number;

    constructor(seed: number) {
        this.seed = seed >>> 0;
    }

    /** mulberry32. @returns 0 to 1 */
    random(): number {
        this.seed = (this.seed + 0x6d2b79f5) >>> 0;
        let value = this.seed;
        value = Math.imul(value ^ (value >>> 15), value | 1);
        value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    }

    at(atMs: number, run: () => void): void {
        const { heap } = this;
        heap.push({ atMs: Math.max(atMs, this.nowMs), order: this.order++, run });
        let index = heap.length - 1;
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
        while (this.heap.length > 0 && this.heap[0]!.atMs <= endMs) {
            const { atMs, run } = this.pop();
            this.nowMs = atMs;
            run();
        }
        this.nowMs = endMs;
    }

    private pop(): { atMs: number; run: () => void; } {
        const { heap } = this;
        this.swap(0, heap.length - 1);
        const top = heap.pop()!;
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const child = left + 1 < heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
            if (child >= heap.length || !this.isBefore(child, index)) {
                return top;
            }
            this.swap(child, index);
            index = child;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const a = this.heap[left]!;
        const b = this.heap[right]!;
        return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
    }

    private swap(left: number, right: number): void {
        [this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
    }
}
