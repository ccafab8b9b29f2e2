const SECOND_MS = 1_000;

/** Lines of one kind that may be written; what is left out is counted. */
export class LineBudget {
    private tokens: number;
    private filledAtMs: number | undefined;
    private dropped = 0;

    private constructor(private readonly linesPerSecond: number) {
        this.tokens = linesPerSecond;
    }

    /** @param linesPerSecond mean rate; as many lines may come at once */
    static create(linesPerSecond: number): LineBudget {
        return new LineBudget(linesPerSecond);
    }

    /** @returns how many lines were left out since the last one that was written; undefined when this one is left out too */
    take(nowMs: number): number | undefined {
        const elapsedMs = nowMs - (this.filledAtMs ?? nowMs);
        this.tokens = Math.min(this.linesPerSecond, this.tokens + elapsedMs * this.linesPerSecond / SECOND_MS);
        this.filledAtMs = nowMs;
        if (this.tokens < 1) {
            this.dropped++;
            return undefined;
        }
        this.tokens--;
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }
}
