import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Exit code and output of a command; the exit code is `null` if a signal ended it. */
export interface CliResult {
    readonly exitCode: number | null;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs the built `pomeloturn` command with `settings` as its settings file, and waits until it has exited. */
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
