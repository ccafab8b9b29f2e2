import { readdirSync, readFileSync } from "node:fs";
import { expect, it } from "vitest";

const FOLDER = "programs/entry/src";

/** Names in calls of `counters.add`. Parts that are filled in at run time are replaced by `*`. */
const findCounterNames = (): string[] =>
    readdirSync(FOLDER)
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"))
        .map(file => readFileSync(`${FOLDER}/${file}`, "utf8"))
        .flatMap(text => [...text.matchAll(/counters\.add\(([^;]*)\);/g)].map(match => match[1]!))
        .flatMap(argument => [...argument.matchAll(/["`]([^"`]+)["`]/g)].map(match => match[1]!.replace(/\$\{[^}]*\}/g, "*")));

it("documents each counter of the process on the operators' page, and no others", () => {
    const page = readFileSync("docs/OPERATIONS.md", "utf8").split("## Counters")[1]!;
    const documented = [...page.matchAll(/`([^`]+)`/g)].map(match => match[1]!);
    expect(findCounterNames().length).toBeGreaterThan(4);
    expect([...new Set(findCounterNames())].sort()).toEqual(documented.sort());
});
