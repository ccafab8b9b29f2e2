import type { VirtualClock } from "../../leases/support/VirtualClock.ts";

const NEAR_DELAY_MS = 0.2;
const FAR_DELAY_MS = 12;
/** Largest delay of a datagram that is late: longer than any time limit of a request. */
const LATE_DELAY_MS = 400;

/** Shares of datagrams that the network treats badly. */
export interface NetworkFaults {
    lostShare: number;
    duplicatedShare: number;
    lateShare: number;
}

/** Delivers datagrams between simulated VMs, with losses, duplicates, late datagrams and partitions. */
export class AllowanceNetwork {
    readonly faults: NetworkFaults = { lostShare: 0, duplicatedShare: 0, lateShare: 0 };
    datagramCount = 0;
    /** Tells for each cut whether it stops a datagram. */
    private readonly cuts = new Set<(from: string, to: string) => boolean>();

    constructor(
        private readonly clock: VirtualClock,
        private readonly regionOf: (vm: string) => string,
        private readonly deliver: (from: string, to: string, text: string) => void,
    ) {}

    send(from: string, to: string, text: string): void {
        const { clock, faults } = this;
        this.datagramCount++;
        if (this.isCut(from, to) || clock.random() < faults.lostShare) {
            return;
        }
        const copies = clock.random() < faults.duplicatedShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            clock.after(this.drawDelayMs(from, to), () => {
                if (!this.isCut(from, to)) {
                    this.deliver(from, to, text);
                }
            });
        }
    }

    /** Cuts connections for a time. */
    cut(durationMs: number, isCut: (from: string, to: string) => boolean): void {
        this.cuts.add(isCut);
        this.clock.after(durationMs, () => this.cuts.delete(isCut));
    }

    private isCut(from: string, to: string): boolean {
        return [...this.cuts].some(cut => cut(from, to));
    }

    private drawDelayMs(from: string, to: string): number {
        const { clock, faults } = this;
        const isNear = this.regionOf(from) === this.regionOf(to);
        const delayMs = isNear ? NEAR_DELAY_MS * (1 + 2 * clock.random()) : FAR_DELAY_MS * (0.9 + 0.1 * clock.random());
        return clock.random() < faults.lateShare ? delayMs + clock.random() * LATE_DELAY_MS : delayMs;
    }
}
