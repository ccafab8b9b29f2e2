/** Retry budget of a service on this VM: a token bucket that is refilled by requests and over time. */
export interface RetryBudget {
    /** Retries that may be made now; negative when retries are reserved ahead of time. */
    tokens: number;
    refilledAtMs: number;
}

const BURST_RETRIES = 100;
const RETRIES_PER_SECOND = 50;
/** Retries that each request adds to the budget, so that retries stay a small share of the load. */
const RETRIES_PER_REQUEST = 0.2;
const MILLISECONDS_PER_SECOND = 1_000;

export const createRetryBudget = (nowMs: number): RetryBudget => ({ tokens: BURST_RETRIES, refilledAtMs: nowMs });

/** Adds the share of a request to the budget. Call it once per request, at its first attempt. */
export const depositRequest = (budget: RetryBudget): void => {
    budget.tokens = Math.min(BURST_RETRIES, budget.tokens + RETRIES_PER_REQUEST);
};

/**
 * Reserves a retry at the earliest time that the budget allows.
 *
 * @param nowMs monotonic time in milliseconds
 * @param maximumWaitMs longest accepted wait, in milliseconds
 * @returns milliseconds to wait before the retry; undefined when the wait would exceed `maximumWaitMs`, in which case nothing is reserved
 */
export const reserveRetry = (budget: RetryBudget, nowMs: number, maximumWaitMs: number): number | undefined => {
    const refilledTokens = (nowMs - budget.refilledAtMs) * RETRIES_PER_SECOND / MILLISECONDS_PER_SECOND;
    budget.tokens = Math.min(BURST_RETRIES, budget.tokens + refilledTokens);
    budget.refilledAtMs = nowMs;
    const missingTokens = Math.max(0, 1 - budget.tokens);
    const waitMs = missingTokens * MILLISECONDS_PER_SECOND / RETRIES_PER_SECOND;
    if (waitMs > maximumWaitMs) {
        return undefined;
    }
    budget.tokens -= 1;
    return waitMs;
};
