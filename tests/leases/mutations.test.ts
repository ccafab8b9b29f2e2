import { ALL_GUARDS } from "@pomeloturn/group-lease/LeaseGuards";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { mutationTable, runMutation } from "./support/mutationTable.ts";

const page = readFileSync("docs/design/lease-mutations.md", "utf8");

test("every guard has a run that fails without it", () => {
    expect(mutationTable.map(({ guard }) => guard).sort()).toEqual(Object.keys(ALL_GUARDS).sort());
});

test.each(mutationTable)("the check notices when $guard is taken away", row => {
    const violations = runMutation(row, { [row.guard]: false }).check.violations;
    expect(violations.some(violation => row.violation.test(violation))).toBe(true);
    expect(page).toContain(`| \`${row.guard}\` | ${row.trap} | ${row.seed} |`);
});

test.each(mutationTable)("the run for $guard is clean with all guards", row => {
    expect(runMutation(row, {}).check.violations).toEqual([]);
});
