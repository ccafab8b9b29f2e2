import { expect, it } from "vitest";
import { SuspensionDetector } from "./SuspensionDetector.ts";

it.each([
    ["equal advances", 1_000, 1_001_000, 0],
    ["a suspension of 3 s", 1_000, 1_004_000, 1],
    ["a step back of the wall clock", 1_000, 998_600, 1],
    ["clock drift", 1_000, 1_001_030, 0],
])("counts the suspensions for %s", (_name, monotonicMs, wallMs, count) => {
    const differencesMs: number[] = [];
    const detector = SuspensionDetector.create(differenceMs => differencesMs.push(differenceMs));
    detector.check(0, 1_000_000);
    expect(detector.check(monotonicMs, wallMs)).toBe(count);
    expect(differencesMs).toHaveLength(count);
});
