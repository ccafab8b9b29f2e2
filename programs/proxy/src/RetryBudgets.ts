import { createRetryBudget, type RetryBudget } from "@pomeloturn/plan-retry/retryBudget";

/** Retry budgets of this VM, one for each service. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    private constructor() {}

    static create(): RetryBudgets {
        return new RetryBudgets();
    }

    /** Finds or creates the budget of a service. @param nowMs monotonic time in milliseconds */
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
