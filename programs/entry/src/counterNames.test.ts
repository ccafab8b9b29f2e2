import { readdirSync, readFileSync } from "node:fs";
import { expect, it } from "vitest";

const FOLDER = "programs/entry/src";

/** Names in calls of `counters.add`; what is filled in at run time stands as a star. */
const countedNames = (): string[] =>
    readdirSync(FOLDER)
        .filter(file => !file.endsWith(".test.ts"))
        .map(file => readFileSync(`${FOLDER}/${file}`, "utf8"))
        .flatMap(text => [...text.matchAll(/counters\.add\(([^;]*)\);/g)].map(match => match[1]!))
        .flatMap(argument => [...argument.matchAll(/["`]([^"`]+)["`]/g)].map(match => match[1]!.replace(/\$\{[^}]*\}/g, "*")));

it("finds each counter of the process in the operators' page", () => {
    const page = readFileSync("docs/OPERATIONS.md", "utf8").split("## Counters")[1]!;
    const documented = [...page.matchAll(/`([^`]+)`/g)].map(match => match[1]!);
    expect(countedNames().length).toBeGreaterThan(4);
    expect([...new Set(countedNames())].sort()).toEqual(documented.sort());
});
