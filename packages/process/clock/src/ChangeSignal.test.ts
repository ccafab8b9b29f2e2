import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { ChangeSignal } from "./ChangeSignal.ts";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

it("ends all waits at a change, and each at its limit", async () => {
    const signal = ChangeSignal.create();
    const ended: string[] = [];
    void signal.wait(10).then(() => ended.push("short"));
    void signal.wait(100).then(() => ended.push("long"));
    await vi.advanceTimersByTimeAsync(10);
    expect(ended).toEqual(["short"]);
    signal.notify();
    await vi.advanceTimersByTimeAsync(0);
    expect(ended).toEqual(["short", "long"]);
    expect(vi.getTimerCount()).toBe(0);
});
