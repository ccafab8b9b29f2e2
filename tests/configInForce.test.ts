import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import pg from "pg";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ControlledDeployment } from "./support/ControlledDeployment.ts";
import { type CliResult, runCli } from "./support/runCli.ts";

const VM_COUNT = 3;
const TIMEOUT_MS = 10_000;
const SERVICE = "log-core";
const FILE = "10-engineering.json";
const FIRST_PASSWORD = "secret";
const PASSWORDS = ["second", "third"] as const;

interface Content {
    readonly services: Record<string, ServiceConfiguration>;
}

/** The service's password tells which version a proxy has in force: only that one is accepted. */
describe("an accepted configuration at three VMs", () => {
    let deployment: ControlledDeployment;

    const run = (...args: readonly string[]): Promise<CliResult> => {
        const platformUrl = `http://127.0.0.1:${deployment.small.standin.platformPort}`;
        return runCli({ operator: "ana", platformUrl, timeoutMs: TIMEOUT_MS }, ...args);
    };

    const applyPassword = async (base: number, password: string): Promise<void> => {
        const folder = join(mkdtempSync(join(tmpdir(), "pomeloturn-config-")), "config");
        expect(await run("config", "pull", folder)).toMatchObject({ exitCode: 0 });
        const file = join(folder, FILE);
        const content = JSON.parse(readFileSync(file, "utf8")) as Content;
        const services = { [SERVICE]: { ...content.services[SERVICE], password } };
        writeFileSync(file, JSON.stringify({ ...content, services }));
        const stdout = `applied as version ${base + 1}\n`;
        expect(await run("config", "apply", folder, "--base", String(base))).toMatchObject({ exitCode: 0, stdout });
    };

    const isAccepted = async (index: number, password: string): Promise<boolean> => {
        const port = deployment.vms[index]!.callerPort;
        const client = new pg.Client({ host: "127.0.0.1", port, user: "editor", password, database: SERVICE });
        client.on("error", () => undefined);
        try {
            await client.connect();
            await client.end();
            return true;
        }
        catch {
            return false;
        }
    };

    const waitUntilInForce = (index: number, password: string): Promise<void> =>
        deployment.waitFor(async () => {
            if (!(await isAccepted(index, password))) {
                throw new Error(`vm ${index} does not accept ${password}`);
            }
        });

    const waitAtAll = (password: string): Promise<unknown> =>
        Promise.all(deployment.vms.map((_vm, index) => waitUntilInForce(index, password)));

    const killVm = async (index: number): Promise<void> => {
        await Promise.all([deployment.vms[index]!.controller.kill(), deployment.vms[index]!.proxy.kill()]);
    };

    beforeEach(async () => {
        deployment = await ControlledDeployment.create(VM_COUNT);
        await waitAtAll(FIRST_PASSWORD);
    });

    afterEach(async () => {
        await deployment.close();
    });

    it("comes into force at every VM, and each replaces the one before", async () => {
        for (const [index, password] of PASSWORDS.entries()) {
            await applyPassword(index + 1, password);
            await waitAtAll(password);
        }
        for (const index of deployment.vms.keys()) {
            expect(await isAccepted(index, FIRST_PASSWORD)).toBe(false);
            expect(await isAccepted(index, PASSWORDS[0])).toBe(false);
        }
    });

    it("reaches a VM that starts while the store is down, from its peers", async () => {
        await applyPassword(1, PASSWORDS[0]);
        await waitAtAll(PASSWORDS[0]);
        await deployment.applyFault({ platformFaults: { isDown: true } });
        await killVm(VM_COUNT - 1);
        await deployment.startVm(VM_COUNT - 1);
        await waitUntilInForce(VM_COUNT - 1, PASSWORDS[0]);
        expect(await isAccepted(VM_COUNT - 1, FIRST_PASSWORD)).toBe(false);
    });

    it("reaches a VM that alone cannot reach the store", async () => {
        await deployment.applyFault({ platformFaults: { cutVms: [deployment.vms[0]!.vm] } });
        await applyPassword(1, PASSWORDS[0]);
        await waitAtAll(PASSWORDS[0]);
    });
});
