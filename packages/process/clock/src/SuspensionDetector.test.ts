import { expect, it } from "vitest";
import { SuspensionDetector } from "./SuspensionDetector.ts";

it.each([
    ["nothing", 1_000, 1_001_000, 0],
    ["a suspension of 3 s", 1_000, 1_004_000, 1],
    ["a step back", 1_000, 998_600, 1],
    ["drift", 1_000, 1_001_030, 0],
])("notices %s", (_what, steadyMs, wallMs, count) => {
    const noticed: number[] = [];
    const detector = SuspensionDetector.create(differenceMs => noticed.push(differenceMs));
    detector.check(0, 1_000_000);
    expect(detector.check(steadyMs, wallMs)).toBe(count);
    expect(noticed).toHaveLength(count);
});
