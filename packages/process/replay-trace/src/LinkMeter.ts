const SECOND_MS = 1_000;

/** Bytes over paid links, by direction and second. */
export class LinkMeter {
    private readonly seconds = new Map<string, number>();
    totalBytes = 0;

    private constructor() {}

    static create(): LinkMeter {
        return new LinkMeter();
    }

    add(fromRegion: string, toRegion: string, sizeBytes: number, nowMs: number): void {
        if (fromRegion === toRegion) {
            return;
        }
        const key = this.key(fromRegion, toRegion, nowMs);
        this.seconds.set(key, (this.seconds.get(key) ?? 0) + sizeBytes);
        this.totalBytes += sizeBytes;
    }

    /** Bytes of the present second. */
    current(fromRegion: string, toRegion: string, nowMs: number): number {
        return this.seconds.get(this.key(fromRegion, toRegion, nowMs)) ?? 0;
    }

    get peakBytesPerSecond(): number {
        return Math.max(0, ...this.seconds.values());
    }

    private key(fromRegion: string, toRegion: string, nowMs: number): string {
        return `${fromRegion}>${toRegion}@${Math.floor(nowMs / SECOND_MS)}`;
    }
}
