import { findPorts } from "@pomeloturn/standin/findPorts";
import pg from "pg";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ProgramProcess } from "./support/ProgramProcess.ts";
import { type CliResult, runCli } from "./support/runCli.ts";
import { createSmallDeployment } from "./support/smallDeployment.ts";

const NO_EXPIRY_MS = 1e15;
const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 200;
const READ = "SELECT value FROM entries WHERE key = 'a'";

describe("pomeloturn explain and histograms, as processes against two proxies", () => {
    const processes: ProgramProcess[] = [];
    let operatorPorts: number[];

    const run = (...args: readonly string[]): Promise<CliResult> =>
        runCli({
            operator: "ana",
            platformUrl: "http://127.0.0.1:1",
            timeoutMs: TIMEOUT_MS,
            proxies: { "vm-1": `127.0.0.1:${operatorPorts[0]}`, "vm-2": `127.0.0.1:${operatorPorts[1]}` },
        }, ...args);

    beforeAll(async () => {
        const { standin, proxies, view } = await createSmallDeployment(2, { expiresAtMs: NO_EXPIRY_MS });
        operatorPorts = await findPorts(proxies.length);
        processes.push(await ProgramProcess.create("standin", standin, standin.platformPort));
        for (const [index, proxy] of proxies.entries()) {
            const settings = { ...proxy, view, operatorPort: operatorPorts[index] };
            processes.push(await ProgramProcess.create("proxy", settings, proxy.callerPort));
        }
        const client = new pg.Client({
            host: "127.0.0.1",
            port: proxies[0]!.callerPort,
            user: "editor",
            password: "secret",
            database: "log-core",
        });
        await client.connect();
        await client.query("INSERT INTO entries (key, value) VALUES ('a', 'one') /*rank='filing'*/");
        await client.query(READ);
        await client.query(READ);
        await client.end();
    });

    afterAll(async () => {
        await Promise.all(processes.map(each => each.kill()));
    });

    it.each<[name: string, args: readonly string[], lines: readonly (string | RegExp)[]]>([
        ["a write", ["INSERT INTO entries (key, value) VALUES ('b', 'two') /*rank='filing'*/"], [
            "class write, rank filing, group log-1",
            "goes to one, held by vm-2: writes and transactions run at the primary",
            /^one \(primary\) .* chosen$/,
            /^two .* the statement runs at the primary only$/,
        ]],
        ["a read without a session token", [READ], [
            "class read, rank lookup, group log-1",
            "requires nothing of the data",
            "goes to one, held by vm-2: no token was presented, so the previous writes of the session are unknown",
        ]],
        ["a read of a new session with a rank", [READ, "--token", "new", "--rank", "notice", "--vm", "vm-1"], [
            "class read, rank notice, group log-1",
            /^goes to (two|three), held by vm-[12]: a replica is known to have the data that the read requires$/,
            /^(two|three) .* chosen$/,
            /^one \(primary\) .* could serve$/,
        ]],
    ])("explains %s", async (_name, args, lines) => {
        const { exitCode, stdout } = await run("explain", "log-core", ...args);
        expect(exitCode).toBe(0);
        for (const line of lines) {
            expect(stdout.split("\n")).toContainEqual(typeof line === "string" ? line : expect.stringMatching(line));
        }
    });

    it.each([
        ["an unknown service", ["log-x", READ], "pomeloturn 102"],
        ["an unknown rank", ["log-core", READ, "--rank", "x"], "pomeloturn 107"],
        ["an unknown read kind", ["log-core", READ, "--read-kind", "x", "--token", "new"], "pomeloturn 108"],
        ["a malformed token", ["log-core", READ, "--token", "x"], "pomeloturn 109"],
    ])("refuses %s with the result code that callers get", async (_name, args, message) => {
        expect(await run("explain", ...args)).toMatchObject({ exitCode: 2, stderr: expect.stringContaining(message) as string });
    });

    it("shows the latencies per proxy, service and rank", async () => {
        const { exitCode, stdout } = await run("histograms", "--json");
        expect(exitCode).toBe(0);
        expect(JSON.parse(stdout)).toMatchObject([
            { vm: "vm-1", service: "log-core", rank: "filing", count: 1 },
            { vm: "vm-1", service: "log-core", rank: "lookup", count: 2 },
        ]);
        expect((await run("histograms")).stdout).toMatch(/^vm-1 +log-core +lookup +2 /m);
    });

    it("prints counters and latencies in the Prometheus text format", async () => {
        const { stdout } = await run("histograms", "--prometheus", "vm-1");
        expect(stdout).toContain("pomeloturn_rank_requests_total{service=\"log-core\",rank=\"filing\"} 1\n");
        expect(stdout).toMatch(/^pomeloturn_requests_primary_total [1-3]$/m);
    });

    it("exits with code 3 and names the proxy when a proxy cannot be reached", async () => {
        const [unusedPort] = await findPorts(1);
        const settings = {
            operator: "ana",
            platformUrl: "http://127.0.0.1:1",
            timeoutMs: SHORT_TIMEOUT_MS,
            proxies: { "vm-9": `127.0.0.1:${unusedPort}` },
        };
        const { exitCode, stderr } = await runCli(settings, "histograms");
        expect(exitCode).toBe(3);
        expect(stderr).toContain("vm-9: pomeloturn 511");
    });
});
