import { ALL_GUARDS } from "@pomeloturn/group-lease/LeaseGuards";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { mutationTable, runMutation } from "./support/mutationTable.ts";

const page = readFileSync("docs/design/lease-mutations.md", "utf8");

test("every guard has a mutation that removes it", () => {
    expect(mutationTable.map(({ guard }) => guard).sort()).toEqual(Object.keys(ALL_GUARDS).sort());
});

test.each(mutationTable)("the leadership check detects the removal of $guard", row => {
    const violations = runMutation(row, { [row.guard]: false }).check.violations;
    expect(violations.some(violation => row.violation.test(violation))).toBe(true);
    expect(page).toContain(`| \`${row.guard}\` | ${row.scenario} | ${row.seed} |`);
});

test.each(mutationTable)("the scenario for $guard has no violation with all guards in place", row => {
    expect(runMutation(row, {}).check.violations).toEqual([]);
});
