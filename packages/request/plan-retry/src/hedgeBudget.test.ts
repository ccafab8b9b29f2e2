import { expect, it } from "vitest";
import { createHedgeBudget, depositHedge, takeHedge } from "./hedgeBudget.ts";

/** Requests and second attempts of an overload: `wishes[i]` second attempts are wanted after request i. */
const replay = (wishes: readonly number[]): number => {
    const budget = createHedgeBudget();
    let takenCount = 0;
    for (const wishCount of wishes) {
        depositHedge(budget);
        for (let wish = 0; wish < wishCount; wish++) {
            takenCount += takeHedge(budget) ? 1 : 0;
        }
    }
    return takenCount;
};

it("allows second attempts for a few lost answers", () => {
    expect(replay([0, 1, 0, 1, 0, 1])).toBe(3);
});

it("keeps the second attempts of an overload to a small share of the requests", () => {
    const requestCount = 1_000;
    expect(replay(Array.from({ length: requestCount }, () => 1))).toBeLessThanOrEqual(0.06 * requestCount);
});
