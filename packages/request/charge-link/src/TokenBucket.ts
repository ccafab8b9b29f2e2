/** A bucket holds at most what its rate earns in this time. */
export const BURST_S = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Bytes that may be sent, earned at a rate. It starts empty, so that a restart earns nothing. */
export interface TokenBucket {
    bytesPerSecond: number;
    /** Negative while an answer that was larger than expected is paid off. */
    balanceBytes: number;
    advancedAtMs: number;
}

export const createBucket = (bytesPerSecond: number, nowMs: number): TokenBucket => ({
    bytesPerSecond,
    balanceBytes: 0,
    advancedAtMs: nowMs,
});

/** Largest balance. */
export const burstBytes = ({ bytesPerSecond }: TokenBucket): number => bytesPerSecond * BURST_S;

/** Earns up to `nowMs`. */
export const advanceBucket = (bucket: TokenBucket, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - bucket.advancedAtMs);
    bucket.advancedAtMs = Math.max(bucket.advancedAtMs, nowMs);
    const earned = bucket.balanceBytes + bucket.bytesPerSecond * elapsedMs / MILLISECONDS_PER_SECOND;
    bucket.balanceBytes = Math.min(earned, burstBytes(bucket));
};

/** Earns up to `nowMs` at the old rate and goes on at another. */
export const setBucketRate = (bucket: TokenBucket, bytesPerSecond: number, nowMs: number): void => {
    advanceBucket(bucket, nowMs);
    bucket.bytesPerSecond = bytesPerSecond;
    advanceBucket(bucket, nowMs);
};
