import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** What a command printed and how it ended. */
export interface CliResult {
    readonly exitCode: number | null;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs `pomeloturn` as a process. */
export const runCli = (settings: object, ...args: readonly string[]): Promise<CliResult> => {
    const file = join(mkdtempSync(join(tmpdir(), "pomeloturn-")), "pomeloturn.json");
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, ["dist/cli.cjs", ...args, "--settings", file], { stdio: ["ignore", "pipe", "pipe"] });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (chunk: Buffer) => stdout += chunk.toString());
    child.stderr.on("data", (chunk: Buffer) => stderr += chunk.toString());
    return new Promise(resolve => child.once("close", exitCode => resolve({ exitCode, stdout, stderr })));
};
