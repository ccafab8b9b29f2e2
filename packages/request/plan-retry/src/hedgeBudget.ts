/** Budget of second attempts of a service on this VM: a share of its requests. */
export interface HedgeBudget {
    /** Number of second attempts that may be made now. */
    tokens: number;
}

const BURST_HEDGES = 5;
/** Second attempts that each request adds to the budget. */
const HEDGES_PER_REQUEST = 0.05;

export const createHedgeBudget = (): HedgeBudget => ({ tokens: BURST_HEDGES });

/** Adds the share of a request to the budget. Call it once per request, at its first attempt. */
export const depositHedge = (budget: HedgeBudget): void => {
    budget.tokens = Math.min(BURST_HEDGES, budget.tokens + HEDGES_PER_REQUEST);
};

/**
 * Decides whether a second attempt may queue behind first attempts at an instance without a free connection.
 *
 * Load pattern: an instance turns slow or is overloaded, every read passes the delay of a second attempt, and the second
 * attempts double the load. A few are still made, for reads whose first attempt was lost.
 *
 * @returns whether it may; it is then taken from the budget
 */
export const takeHedge = (budget: HedgeBudget): boolean => {
    const isAllowed = budget.tokens >= 1;
    budget.tokens -= isAllowed ? 1 : 0;
    return isAllowed;
};
