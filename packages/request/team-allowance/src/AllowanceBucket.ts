import type { SeatLimits } from "./computeSeatLimits.ts";

/** Token bucket of one seat of a team's allowance. */
export interface AllowanceBucket {
    tokens: number;
    /** Monotonic time at which `tokens` was last updated, in milliseconds. */
    updatedAtMs: number;
}

/** Answer of a bucket to the request for one operation. */
export type BucketDecision =
    | { readonly isGranted: true; }
    /** `retryAfterMs`: time until the bucket has another token, in milliseconds; infinite when it never will. */
    | { readonly isGranted: false; readonly retryAfterMs: number; };

const MS_PER_S = 1_000;
const GRANTED: BucketDecision = { isGranted: true };

/** @param tokens 0 unless it is certain that no earlier process has granted operations of this seat */
export const createBucket = (tokens: number, nowMs: number): AllowanceBucket => ({ tokens, updatedAtMs: nowMs });

/** Takes one token if there is one. Tokens beyond the present limits are lost. */
export const takeToken = (bucket: AllowanceBucket, limits: SeatLimits, nowMs: number): BucketDecision => {
    const { operationsPerS, capacityOperations } = limits;
    const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
    bucket.tokens = Math.min(capacityOperations, bucket.tokens + operationsPerS * elapsedMs / MS_PER_S);
    bucket.updatedAtMs = nowMs;
    if (bucket.tokens >= 1) {
        bucket.tokens--;
        return GRANTED;
    }
    const isFillable = operationsPerS > 0 && capacityOperations >= 1;
    return { isGranted: false, retryAfterMs: isFillable ? (1 - bucket.tokens) * MS_PER_S / operationsPerS : Infinity };
};
