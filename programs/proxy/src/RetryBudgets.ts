import { createRetryBudget, type RetryBudget } from "@pomeloturn/plan-retry/retryBudget";

/** The retry budget of each service on this VM. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    private constructor() {}

    static create(): RetryBudgets {
        return new RetryBudgets();
    }

    /** @param nowMs monotonic time in milliseconds */
    find(service: string, nowMs: number): RetryBudget {
        const known = this.budgets.get(service);
        if (known !== undefined) {
            return known;
        }
        const budget = createRetryBudget(nowMs);
        this.budgets.set(service, budget);
        return budget;
    }
}
