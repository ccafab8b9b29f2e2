/** Capacity of a bucket, as the time in which its rate fills it. */
export const BUCKET_CAPACITY_S = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket of bytes that may be sent. It starts empty, so that a restart does not allow an extra burst. */
export interface TokenBucket {
    bytesPerSecond: number;
    /** Bytes that may be sent now; negative after an answer that was larger than expected, until refills make up for it. */
    balanceBytes: number;
    refilledAtMs: number;
}

export const createBucket = (bytesPerSecond: number, nowMs: number): TokenBucket => ({
    bytesPerSecond,
    balanceBytes: 0,
    refilledAtMs: nowMs,
});

/** Returns the capacity of a bucket in bytes. */
export const bucketCapacityBytes = ({ bytesPerSecond }: TokenBucket): number => bytesPerSecond * BUCKET_CAPACITY_S;

/** Refills a bucket up to `nowMs`. */
export const refillBucket = (bucket: TokenBucket, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
    const refilledBytes = bucket.balanceBytes + bucket.bytesPerSecond * elapsedMs / MILLISECONDS_PER_SECOND;
    bucket.balanceBytes = Math.min(refilledBytes, bucketCapacityBytes(bucket));
};

/** Refills a bucket up to `nowMs` at its present rate, then changes the rate. */
export const setBucketRate = (bucket: TokenBucket, bytesPerSecond: number, nowMs: number): void => {
    refillBucket(bucket, nowMs);
    bucket.bytesPerSecond = bytesPerSecond;
    refillBucket(bucket, nowMs);
};
