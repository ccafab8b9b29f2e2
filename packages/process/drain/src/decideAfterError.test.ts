import { expect, it } from "vitest";
import { AfterError, createErrorHistory, decideAfterError } from "./decideAfterError.ts";

/** Decisions after `count` errors, one every `intervalMs`. */
const decideEach = (count: number, intervalMs: number): AfterError[] => {
    const history = createErrorHistory();
    return Array.from({ length: count }, (_each, index) => decideAfterError(history, index * intervalMs));
};

it("goes on after single errors", () => {
    expect(decideEach(1_000, 1_000)).not.toContain(AfterError.Drain);
});

it("drains the process when errors do not end", () => {
    expect(decideEach(30, 100).indexOf(AfterError.Drain)).toBe(20);
});
