import { describe, expect, it } from "vitest";
import { chooseGroup } from "./chooseGroup.ts";

const KEY_COUNT = 6_000;
const keys = Array.from({ length: KEY_COUNT }, (_each, index) => `key-${index}`);
const groups = ["log-1", "log-2", "log-3"];

describe("chooseGroup", () => {
    it("spreads keys evenly", () => {
        for (const group of groups) {
            const count = keys.filter(key => chooseGroup(groups, key) === group).length;
            expect(count / KEY_COUNT).toBeGreaterThan(0.28);
            expect(count / KEY_COUNT).toBeLessThan(0.39);
        }
    });

    it("moves keys only to an added group, wherever it is in the list", () => {
        for (const larger of [[...groups, "log-4"], ["log-4", ...groups]]) {
            const moved = keys.filter(key => chooseGroup(larger, key) !== chooseGroup(groups, key));
            expect(moved.every(key => chooseGroup(larger, key) === "log-4")).toBe(true);
            expect(moved.length / KEY_COUNT).toBeLessThan(0.3);
        }
    });

    it("gives the same group for the same key when another array holds the same names", () => {
        expect(keys.every(key => chooseGroup(groups, key) === chooseGroup([...groups], key))).toBe(true);
    });
});
