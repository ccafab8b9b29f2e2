import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { startLoop } from "./startLoop.ts";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

it("goes on after an error", () => {
    const errors: string[] = [];
    let callCount = 0;
    const run = (): number => {
        callCount++;
        if (callCount === 2) {
            throw new Error("unexpected");
        }
        return 10;
    };
    startLoop(run, error => errors.push(error.message), 100);
    vi.advanceTimersByTime(10 + 100 + 10);
    expect([callCount, errors]).toEqual([4, ["unexpected"]]);
});
