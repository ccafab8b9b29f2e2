/** Retries that a service may still make on this VM: a token bucket, filled by its requests and by time. */
export interface RetryBudget {
    /** Negative when retries are reserved ahead of time. */
    tokens: number;
    refilledAtMs: number;
}

const BURST_RETRIES = 100;
const RETRIES_PER_SECOND = 50;
/** Retries that each request adds, so that retries stay a small share of the load. */
const RETRIES_PER_REQUEST = 0.2;
const MILLISECONDS_PER_SECOND = 1_000;

export const createRetryBudget = (nowMs: number): RetryBudget => ({ tokens: BURST_RETRIES, refilledAtMs: nowMs });

/** Counts a request's first attempt. */
export const depositRequest = (budget: RetryBudget): void => {
    budget.tokens = Math.min(BURST_RETRIES, budget.tokens + RETRIES_PER_REQUEST);
};

/**
 * Reserves a retry.
 *
 * @param nowMs monotonic time in milliseconds
 * @param limitMs longest wait that is of use
 * @returns milliseconds to wait before the retry; undefined when the wait would be too long, and then nothing is reserved
 */
export const reserveRetry = (budget: RetryBudget, nowMs: number, limitMs: number): number | undefined => {
    const refill = (nowMs - budget.refilledAtMs) * RETRIES_PER_SECOND / MILLISECONDS_PER_SECOND;
    budget.tokens = Math.min(BURST_RETRIES, budget.tokens + refill);
    budget.refilledAtMs = nowMs;
    const missing = Math.max(0, 1 - budget.tokens);
    const waitMs = missing * MILLISECONDS_PER_SECOND / RETRIES_PER_SECOND;
    if (waitMs > limitMs) {
        return undefined;
    }
    budget.tokens -= 1;
    return waitMs;
};
