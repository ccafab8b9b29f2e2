import { spawnSync } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { afterEach, beforeEach, expect, it } from "vitest";

const SCRIPTS = resolve("scripts");
const VITEST = resolve("node_modules/vitest/vitest.mjs");
const IMPORT = `import { expect, it } from "vitest";`;
const PASSING = `${IMPORT} it("passes", () => expect(1).toBe(1));`;

// Below the repository, so that the test files find vitest.
const PARENT = resolve("dist");
let folder: string;

beforeEach(() => {
    mkdirSync(PARENT, { recursive: true });
    folder = mkdtempSync(join(PARENT, "check-tests-"));
});

afterEach(() => rmSync(folder, { recursive: true }));

/** Runs vitest on the given test files, then the check of its reports. @returns exit status and output of the check */
const check = (files: Readonly<Record<string, string>>, knownRed = ""): { readonly status: number | null; readonly output: string; } => {
    for (const [name, text] of Object.entries(files)) {
        writeFileSync(join(folder, name), text);
    }
    writeFileSync(join(folder, "vitest.config.js"), `export default { test: { include: ["*.test.js"], pool: "forks" } };`);
    const report = join(folder, "report.json");
    const state = join(folder, "state.json");
    const known = join(folder, "known-red.txt");
    writeFileSync(known, knownRed);
    const reporters = ["--reporter=json", `--reporter=${join(SCRIPTS, "run-state-reporter.js")}`, `--outputFile.json=${report}`];
    const env = { ...process.env, RUN_STATE_FILE: state };
    spawnSync(process.execPath, [VITEST, "run", "--root", folder, "--config", join(folder, "vitest.config.js"), ...reporters], { env });
    const { status, stdout } = spawnSync(process.execPath, [join(SCRIPTS, "check-tests.js"), report, state, known], { encoding: "utf8" });
    return { status, output: stdout };
};

it("passes when all tests pass", () => {
    expect(check({ "one.test.js": PASSING })).toEqual({ status: 0, output: "1 passed, 0 failed\n" });
});

it.each([
    ["a worker is killed", `${IMPORT} it("ends its worker", () => process.kill(process.pid, "SIGKILL"));`],
    [
        "an error is thrown outside the tests",
        `${IMPORT} it("passes", () => { setTimeout(() => { throw new Error("late"); }, 0); return new Promise(r => setTimeout(r, 50)); });`,
    ],
    ["a test fails", `${IMPORT} it("fails", () => expect(1).toBe(2));`],
    ["a file fails to load", `import "./missing.js";`],
])("fails when %s, although another file passes", (_what, text) => {
    expect(check({ "one.test.js": PASSING, "two.test.js": text }).status).toBe(1);
});

it("says that an entry of KNOWN-RED.txt passes which no test of the run has tried", () => {
    const known = [
        "# comment",
        "passes | command | seen | 1",
        "fails | command | seen | 2",
        "other/case: not of vitest | other/case | seen | 3",
    ];
    const { status, output } = check({ "one.test.js": `${PASSING} it("fails", () => expect(1).toBe(2));` }, known.join("\n"));
    expect(output).toContain("known red (passes now, remove it from KNOWN-RED.txt): passes |");
    expect(output).toContain("known red (still failing): fails |");
    expect(output).toContain("known red (no test of this run, run its command): other/case: not of vitest |");
    expect(status).toBe(0);
});
