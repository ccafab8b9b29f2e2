import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { OperatorServer } from "@pomeloturn/operator-link/OperatorServer";
import { findPorts } from "@pomeloturn/standin/findPorts";
import type { SystemStatus } from "@pomeloturn/types/SystemStatus";
import { afterEach, describe, expect, it } from "vitest";
import { type CliResult, runCli } from "./support/runCli.ts";

const TIMEOUT_MS = 10_000;

const STATUS: SystemStatus = {
    vm: "vm-2",
    configVersion: 7,
    groups: {
        "log-1": {
            term: 3,
            primary: "two",
            holder: "vm-2",
            leaseLeftMs: 812.4,
            instances: {
                one: { holder: "vm-1", isReachable: false, lagBytes: undefined, lagMs: undefined },
                two: { holder: "vm-2", isReachable: true, lagBytes: 0, lagMs: 0 },
            },
        },
    },
    vms: {
        "vm-1": { failureDomain: "cluj-a", state: "leaving", configVersion: 6, unusedReason: "it is leaving" },
        "vm-2": { failureDomain: "cluj-b", state: "live", configVersion: 7, unusedReason: undefined },
    },
    links: [{
        fromRegion: "ro-nord",
        toRegion: "ro-sud",
        approvedBytesPerSecond: 1_000,
        usedBytesPerSecond: 250,
        approvedBytesPerMonth: 0,
        usedBytesThisMonth: 0,
    }],
};

describe("pomeloturn status, drain and promote, as a process", () => {
    const servers: OperatorServer[] = [];

    const startServer = async (vm: string): Promise<string> => {
        const server = OperatorServer.create({
            status: () => STATUS,
            drain: args => ({ by: vm, ...args }),
            promote: ({ group, instance }) => {
                if (instance === "one") {
                    throw PomeloturnError.create(ResultCode.NoInstance, "one cannot be reached");
                }
                return { by: vm, group, instance };
            },
        });
        servers.push(server);
        return `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
    };

    /** Runs a command with settings that list three controllers, of which vm-0 cannot be reached. */
    const run = async (...args: readonly string[]): Promise<CliResult> => {
        const [unusedPort] = await findPorts(1);
        const controllers = { "vm-0": `127.0.0.1:${unusedPort}`, "vm-1": await startServer("vm-1"), "vm-2": await startServer("vm-2") };
        return runCli({ operator: "ana", platformUrl: "http://127.0.0.1:1", timeoutMs: TIMEOUT_MS, controllers }, ...args);
    };

    afterEach(() => {
        servers.splice(0).forEach(server => server.close());
    });

    it("prints the status as tables, from the first controller that answers", async () => {
        const { exitCode, stdout } = await run("status");
        expect(exitCode).toBe(0);
        const lines = stdout.split("\n").map(line => line.replaceAll(/ {2,}/g, "  "));
        expect(lines).toEqual(expect.arrayContaining([
            "as seen by vm-2, configuration version 7",
            "log-1  3  two  vm-2  812",
            "log-1/one  vm-1  no  -  -",
            "log-1/two  vm-2  yes  0  0",
            "vm-1  cluj-a  leaving  6  it is leaving",
            "vm-2  cluj-b  live  7  -",
            "ro-nord to ro-sud  250  1000  25%  0  0  -",
        ]));
    });

    it("prints the status as JSON", async () => {
        expect(JSON.parse((await run("status", "--json", "--vm", "vm-1")).stdout)).toEqual(JSON.parse(JSON.stringify(STATUS)));
    });

    it.each<[name: string, args: readonly string[], exitCode: number, output: RegExp]>([
        ["drain of a VM", ["drain", "vm-1"], 0, /"by": "vm-1",\s+"vm": "vm-1"/],
        ["drain of an unreachable VM", ["drain", "vm-0"], 3, /pomeloturn 511/],
        ["drain of a VM that is missing in the settings", ["drain", "vm-7"], 2, /pomeloturn 502.*vm-7/],
        ["promotion by the holder of the primary", ["promote", "log-1", "two"], 0, /"by": "vm-2"/],
        ["promotion of an instance that cannot be reached", ["promote", "log-1", "one"], 2, /pomeloturn 202.*one cannot be reached/],
        ["promotion in an unknown group", ["promote", "log-9", "one"], 2, /pomeloturn 202.*log-9\/one/],
        ["promotion of an unknown instance", ["promote", "log-1", "nine"], 2, /pomeloturn 202.*log-1\/nine/],
        ["an unknown command", ["promot"], 1, /Command not found/],
    ])("%s", async (_name, args, exitCode, output) => {
        const result = await run(...args);
        expect(`${result.stdout}${result.stderr}`).toMatch(output);
        expect(result.exitCode).toBe(exitCode);
    });
});
