const SECOND_MS = 1_000;

/** Counts bytes on paid links by direction and second. */
export class LinkMeter {
    private readonly bytesBySecond = new Map<string, number>();
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
        this.bytesBySecond.set(key, (this.bytesBySecond.get(key) ?? 0) + sizeBytes);
        this.totalBytes += sizeBytes;
    }

    /** Bytes so far in the second that contains `nowMs`. */
    currentBytes(fromRegion: string, toRegion: string, nowMs: number): number {
        return this.bytesBySecond.get(this.key(fromRegion, toRegion, nowMs)) ?? 0;
    }

    get peakBytesPerSecond(): number {
        return Math.max(0, ...this.bytesBySecond.values());
    }

    private key(fromRegion: string, toRegion: string, nowMs: number): string {
        return `${fromRegion}>${toRegion}@${Math.floor(nowMs / SECOND_MS)}`;
    }
}
