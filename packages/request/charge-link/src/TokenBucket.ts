/** Capacity of a bucket, as the time in which its rate fills it. */
export const BURST_S = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket of bytes that may be sent. It starts empty, so that a restart does not allow an extra burst. */
export interface TokenBucket {
    bytesPerSecond: number;
    /** Bytes that may be sent now; negative after an answer that was larger than expected, until refills make up for it. */
    balanceBytes: number;
    advancedAtMs: number;
}

export const createBucket = (bytesPerSecond: number, nowMs: number): TokenBucket => ({
    bytesPerSecond,
    balanceBytes: 0,
    advancedAtMs: nowMs,
});

/** Returns the capacity of a bucket in bytes. */
export const burstBytes = ({ bytesPerSecond }: TokenBucket): number => bytesPerSecond * BURST_S;

/** Refills a bucket up to `nowMs`. */
export const advanceBucket = (bucket: TokenBucket, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - bucket.advancedAtMs);
    bucket.advancedAtMs = Math.max(bucket.advancedAtMs, nowMs);
    const refilledBytes = bucket.balanceBytes + bucket.bytesPerSecond * elapsedMs / MILLISECONDS_PER_SECOND;
    bucket.balanceBytes = Math.min(refilledBytes, burstBytes(bucket));
};

/** Refills a bucket up to `nowMs` at its present rate, then changes the rate. */
export const setBucketRate = (bucket: TokenBucket, bytesPerSecond: number, nowMs: number): void => {
    advanceBucket(bucket, nowMs);
    bucket.bytesPerSecond = bytesPerSecond;
    advanceBucket(bucket, nowMs);
};
