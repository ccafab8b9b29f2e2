import { createSettingsEnvironment } from "@pomeloturn/platform/tables";
import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, expect, it } from "vitest";

const SIGNAL_MS = 200;

let folder: string;
beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "start-"));
});
afterEach(() => rmSync(folder, { recursive: true }));

it("a process ends at a SIGHUP that arrives while it starts", async () => {
    // The start waits for the settings, which come through a named pipe.
    const settings = join(folder, "settings.json");
    expect(spawnSync("mkfifo", [settings]).status).toBe(0);
    const env = { PATH: process.env["PATH"], ...createSettingsEnvironment(settings) };
    const child = spawn(process.execPath, ["target/entry.cjs"], { env, stdio: "ignore" });
    const exited = once(child, "exit");
    const pipe = await open(settings, "w");
    child.kill("SIGHUP");
    await delay(SIGNAL_MS);
    expect([child.exitCode, child.signalCode]).toEqual([null, null]);
    await pipe.writeFile("{}");
    await pipe.close();
    const [code, signal] = await exited as [number | null, NodeJS.Signals | null];
    // The settings are not complete.
    expect([code, signal]).toEqual([1, null]);
});
