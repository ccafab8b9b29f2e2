import type { SeatLimits } from "./computeSeatLimits.ts";

/** Token bucket of one seat of a team's allowance. */
export interface AllowanceBucket {
    /** Negative when tokens have been granted in advance. */
    tokens: number;
    /** Monotonic time at which `tokens` was last updated, in milliseconds. */
    updatedAtMs: number;
}

/** Answer of a bucket to the request for one operation. */
export type BucketDecision =
    /** `waitMs`: time until the operation may be sent, in milliseconds. */
    | { readonly isGranted: true; readonly waitMs: number; }
    /** `retryAfterMs`: time until the bucket has another token, in milliseconds; infinite when it never will. */
    | { readonly isGranted: false; readonly retryAfterMs: number; };

const MS_PER_S = 1_000;

/** @param tokens 0 unless it is certain that no earlier process has granted operations of this seat */
export const createBucket = (tokens: number, nowMs: number): AllowanceBucket => ({ tokens, updatedAtMs: nowMs });

/**
 * Takes one token if there is one, or will be in time. An operation that waits for its token keeps to the limits as if the token
 * had been taken when it came. Tokens beyond the present limits are lost.
 *
 * @param maximumWaitMs longest time for which the operation may wait for its token, in milliseconds
 */
export const takeToken = (bucket: AllowanceBucket, limits: SeatLimits, maximumWaitMs: number, nowMs: number): BucketDecision => {
    const { operationsPerS, capacityOperations } = limits;
    const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
    bucket.tokens = Math.min(capacityOperations, bucket.tokens + operationsPerS * elapsedMs / MS_PER_S);
    bucket.updatedAtMs = nowMs;
    const isFillable = operationsPerS > 0 && capacityOperations >= 1;
    const missingMs = isFillable ? (1 - bucket.tokens) * MS_PER_S / operationsPerS : Infinity;
    const waitMs = bucket.tokens >= 1 ? 0 : missingMs;
    if (waitMs > maximumWaitMs) {
        return { isGranted: false, retryAfterMs: waitMs };
    }
    bucket.tokens--;
    return { isGranted: true, waitMs };
};
