import { expect, it } from "vitest";
import { isAtOrAfterPoint } from "./isAtOrAfterPoint.ts";

it.each([
    ["a later version of the same era", { era: 1, version: 9 }, { era: 1, version: 8 }, true],
    ["the same point", { era: 1, version: 8 }, { era: 1, version: 8 }, true],
    ["an earlier version of the same era", { era: 1, version: 7 }, { era: 1, version: 8 }, false],
    ["an earlier version of a later era", { era: 2, version: 7 }, { era: 1, version: 8 }, true],
    ["a later version of an earlier era", { era: 1, version: 9 }, { era: 2, version: 8 }, false],
])("does not mistake the order of %s", (_what, a, b, expected) => {
    expect(isAtOrAfterPoint(a, b)).toBe(expected);
});
