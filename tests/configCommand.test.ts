import type { HistoryEntry } from "@pomeloturn/config-version/ConfigHead";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { findPorts } from "@pomeloturn/standin/findPorts";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
    createFinanceFile,
    createFirstServiceFile,
    createSecondServiceFile,
    createServiceFile,
    FINANCE_FILE_NAME,
    LINK_SHARE,
    replaceFiles,
    SAMPLE_FILES,
} from "./support/applyFixture.ts";
import { ProgramProcess } from "./support/ProgramProcess.ts";
import { type CliResult, runCli } from "./support/runCli.ts";

const TIMEOUT_MS = 10_000;
/** Time limit of commands that run while a fault drops or delays the answers of the store. */
const SHORT_TIMEOUT_MS = 400;
const NO_FAULTS = { isDown: false, delayMs: 0, lostAnswers: 0 };

describe("pomeloturn config, as a process against the platform of the stand-in", () => {
    let standin: ProgramProcess;
    let platformUrl: string;

    const run = (...args: readonly string[]): Promise<CliResult> => runAs("ana", ...args);
    const runAs = (operator: string, ...args: readonly string[]): Promise<CliResult> =>
        runCli({ operator, platformUrl, timeoutMs: TIMEOUT_MS }, ...args);
    const applyWithShortTimeout = (folderName: string): Promise<CliResult> =>
        runCli({ operator: "ana", platformUrl, timeoutMs: SHORT_TIMEOUT_MS }, "config", "apply", folderName, "--base", "1");

    const setFaults = (platformFaults: object): Promise<Response> =>
        fetch(`${platformUrl}/faults`, { method: "POST", body: JSON.stringify({ platformFaults }) });

    const readHistory = async (): Promise<HistoryEntry[]> =>
        JSON.parse((await run("config", "history", "--json")).stdout) as HistoryEntry[];

    beforeEach(async () => {
        const [platformPort] = await findPorts(1);
        standin = await ProgramProcess.create("standin", { platformHost: "127.0.0.1", platformPort, groups: [] }, platformPort!);
        platformUrl = `http://127.0.0.1:${platformPort}`;
        expect(await run("config", "apply", createFolder(SAMPLE_FILES))).toMatchObject({ exitCode: 0, stdout: "applied as version 1\n" });
    });

    afterEach(async () => {
        await standin.kill();
    });

    it("pulls, edits, checks, diffs, applies and shows the active configuration", async () => {
        const pulled = join(createFolder([]), "pulled");
        expect(await run("config", "pull", pulled)).toMatchObject({ exitCode: 0, stdout: "pulled version 1; apply with --base 1\n" });
        expect(readdirSync(pulled).map(name => ({ name, text: readFileSync(join(pulled, name), "utf8") }))).toEqual(SAMPLE_FILES);
        writeFileSync(join(pulled, FINANCE_FILE_NAME), createFinanceFile(200).text);
        expect(await run("config", "check", pulled)).toMatchObject({ exitCode: 0 });
        const difference = await run("config", "diff", pulled);
        expect(difference.stdout).toContain(`${FINANCE_FILE_NAME} at /links: [{`);
        expect(difference.stdout).toContain("1 values differ from version 1\n");
        expect(await run("config", "apply", pulled, "--base", "1")).toMatchObject({ exitCode: 0, stdout: "applied as version 2\n" });
        const shown = JSON.parse((await run("config", "show")).stdout) as { version: number; configuration: { links: unknown[]; }; };
        expect(shown).toMatchObject({ version: 2, configuration: { links: [{ approvedBytesPerSecond: 200 }] } });
        const origins = (await run("config", "show", "--origin")).stdout.split("\n");
        expect(origins).toContain("/services/first/user = \"editor\" (20-first.json, engineering)");
        expect(origins.find(line => line.startsWith("/links"))).toMatch(/\(30-finance\.json, finance\)$/);
        expect(await readHistory()).toMatchObject([
            { version: 2, operator: "ana", changedFiles: [FINANCE_FILE_NAME] },
            { version: 1, operator: "ana" },
        ]);
    });

    it("does not pull into a folder that contains files", async () => {
        const edited = createFolder(SAMPLE_FILES);
        expect(await run("config", "pull", edited)).toMatchObject({ exitCode: 2, stderr: expect.stringContaining("504") as string });
    });

    it.each<[name: string, files: readonly ConfigFile[], base: readonly string[], exitCode: number, message: RegExp]>([
        ["without a base version", replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")), [], 2, /pomeloturn 512: .*version 1/],
        [
            "with a base that is not a version number",
            replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")),
            ["--base", "x"],
            1,
            /--base x/,
        ],
        [
            "that exceeds the traffic approved by finance",
            replaceFiles(SAMPLE_FILES, createServiceFile("20-first.json", "first", { linkShares: [LINK_SHARE, LINK_SHARE] })),
            ["--base", "1"],
            2,
            /505: .*120 bytes\/s is requested, but only 100 bytes\/s is approved/,
        ],
        [
            "that is not valid JSON",
            replaceFiles(SAMPLE_FILES, { name: "40-x.json", text: "{" }),
            ["--base", "1"],
            2,
            /503: .*40-x\.json at \//,
        ],
    ])("refuses an edit %s", async (_name, files, base, exitCode, message) => {
        const result = await run("config", "apply", createFolder(files), ...base);
        expect(result).toMatchObject({ exitCode, stdout: "", stderr: expect.stringMatching(message) as string });
        expect(await readHistory()).toHaveLength(1);
    });

    it("accepts concurrent edits of different files and refuses a second edit of the same file", async () => {
        const base = ["--base", "1"];
        const results = await Promise.all([
            runAs("ana", "config", "apply", createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile("a"))), ...base),
            runAs("dan", "config", "apply", createFolder(replaceFiles(SAMPLE_FILES, createSecondServiceFile("b"))), ...base),
            runAs("ion", "config", "apply", createFolder(replaceFiles(SAMPLE_FILES, createFinanceFile(300))), ...base),
        ]);
        expect(results.map(({ exitCode }) => exitCode)).toEqual([0, 0, 0]);
        const { configuration } = JSON.parse((await run("config", "show")).stdout) as { configuration: object; };
        expect(configuration).toMatchObject({
            services: { first: { user: "a" }, second: { user: "b" } },
            links: [{ approvedBytesPerSecond: 300 }],
        });
        const conflicting = await runAs(
            "eva",
            "config",
            "apply",
            createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile("c"))),
            ...base,
        );
        expect(conflicting).toMatchObject({
            exitCode: 2,
            stderr: expect.stringMatching(/504: .*changed by ana in version \d: .*"editor" -> "a"/) as string,
        });
        expect(await readHistory()).toHaveLength(4);
    });

    it("accepts one of several concurrent edits of the same file", async () => {
        const results = await Promise.all(
            ["a", "b", "c"].map(user =>
                runAs(user, "config", "apply", createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile(user))), "--base", "1")
            ),
        );
        expect(results.map(({ exitCode }) => exitCode).sort()).toEqual([0, 2, 2]);
        expect(await readHistory()).toHaveLength(2);
    });

    it.each([1, 3])("reports success when %i answers of the store are lost after the change was stored", async lostAnswers => {
        await setFaults({ lostAnswers });
        const edited = createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")));
        expect(await applyWithShortTimeout(edited)).toMatchObject({ exitCode: 0, stdout: "applied as version 2\n" });
        expect(await readHistory()).toHaveLength(2);
    });

    it("reports an unknown outcome when all answers are lost, and success when the command is repeated", async () => {
        await setFaults({ lostAnswers: 1_000 });
        const edited = createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")));
        const unknown = await applyWithShortTimeout(edited);
        expect(unknown).toMatchObject({ exitCode: 3, stderr: expect.stringContaining("pomeloturn 507") as string });
        await setFaults(NO_FAULTS);
        expect(await applyWithShortTimeout(edited)).toMatchObject({ exitCode: 0, stdout: "applied as version 2\n" });
        expect(await readHistory()).toHaveLength(2);
    });

    it("changes nothing while the store is down, and applies while the store is slow", async () => {
        const edited = createFolder(replaceFiles(SAMPLE_FILES, createFirstServiceFile("a")));
        await setFaults({ isDown: true });
        const refused = await applyWithShortTimeout(edited);
        expect(refused).toMatchObject({ exitCode: 2, stderr: expect.stringContaining("pomeloturn 513") as string });
        await setFaults({ isDown: false, delayMs: SHORT_TIMEOUT_MS / 4 });
        expect(await applyWithShortTimeout(edited)).toMatchObject({ exitCode: 0, stdout: "applied as version 2\n" });
    });
});

const createFolder = (files: readonly ConfigFile[]): string => {
    const path = mkdtempSync(join(tmpdir(), "pomeloturn-config-"));
    files.forEach(({ name, text }) => writeFileSync(join(path, name), text));
    return path;
};
