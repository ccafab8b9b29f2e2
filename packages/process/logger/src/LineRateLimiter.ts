const SECOND_MS = 1_000;

/** Token bucket that limits the rate of one kind of log line and counts the suppressed lines. */
export class LineRateLimiter {
    private tokens: number;
    private refilledAtMs: number | undefined;
    private suppressedCount = 0;

    private constructor(private readonly linesPerSecond: number) {
        this.tokens = linesPerSecond;
    }

    /** @param linesPerSecond mean rate, and also the largest burst */
    static create(linesPerSecond: number): LineRateLimiter {
        return new LineRateLimiter(linesPerSecond);
    }

    /**
     * Decides whether a line may be written now.
     *
     * @returns the number of lines suppressed since the last one that was written; undefined when this one is
     * suppressed too
     */
    tryAcquire(nowMs: number): number | undefined {
        const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
        this.tokens = Math.min(this.linesPerSecond, this.tokens + elapsedMs * this.linesPerSecond / SECOND_MS);
        this.refilledAtMs = nowMs;
        if (this.tokens < 1) {
            this.suppressedCount++;
            return undefined;
        }
        this.tokens--;
        const { suppressedCount } = this;
        this.suppressedCount = 0;
        return suppressedCount;
    }
}
