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
const CONFIG_FILE_NAME = "10-engineering.json";
const FIRST_PASSWORD = "secret";
const PASSWORDS = ["second", "third"] as const;

interface ConfigFileContent {
    readonly services: Record<string, ServiceConfiguration>;
}

/** Each version sets another password for the service, so the password that a proxy accepts identifies its active version. */
describe("an accepted configuration at three VMs", () => {
    let deployment: ControlledDeployment;

    const run = (...args: readonly string[]): Promise<CliResult> => {
        const platformUrl = `http://127.0.0.1:${deployment.smallDeployment.standin.platformPort}`;
        return runCli({ operator: "ana", platformUrl, timeoutMs: TIMEOUT_MS }, ...args);
    };

    const applyPassword = async (baseVersion: number, password: string): Promise<void> => {
        const folder = join(mkdtempSync(join(tmpdir(), "pomeloturn-config-")), "config");
        expect(await run("config", "pull", folder)).toMatchObject({ exitCode: 0 });
        const file = join(folder, CONFIG_FILE_NAME);
        const content = JSON.parse(readFileSync(file, "utf8")) as ConfigFileContent;
        const services = { [SERVICE]: { ...content.services[SERVICE], password } };
        writeFileSync(file, JSON.stringify({ ...content, services }));
        const stdout = `applied as version ${baseVersion + 1}\n`;
        expect(await run("config", "apply", folder, "--base", String(baseVersion))).toMatchObject({ exitCode: 0, stdout });
    };

    const isPasswordAccepted = async (index: number, password: string): Promise<boolean> => {
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

    const waitUntilActive = (index: number, password: string): Promise<void> =>
        deployment.waitFor(async () => {
            if (!(await isPasswordAccepted(index, password))) {
                throw new Error(`VM ${index} does not accept the password ${password}`);
            }
        });

    const waitUntilActiveEverywhere = (password: string): Promise<unknown> =>
        Promise.all(deployment.vms.map((_vm, index) => waitUntilActive(index, password)));

    const killVm = async (index: number): Promise<void> => {
        await Promise.all([deployment.vms[index]!.controller.kill(), deployment.vms[index]!.proxy.kill()]);
    };

    beforeEach(async () => {
        deployment = await ControlledDeployment.create(VM_COUNT);
        await waitUntilActiveEverywhere(FIRST_PASSWORD);
    });

    afterEach(async () => {
        await deployment.close();
    });

    it("becomes active at every VM and replaces the previous version", async () => {
        for (const [index, password] of PASSWORDS.entries()) {
            await applyPassword(index + 1, password);
            await waitUntilActiveEverywhere(password);
        }
        for (const index of deployment.vms.keys()) {
            expect(await isPasswordAccepted(index, FIRST_PASSWORD)).toBe(false);
            expect(await isPasswordAccepted(index, PASSWORDS[0])).toBe(false);
        }
    });

    it("reaches a VM from its peers when the VM starts while the store is down", async () => {
        await applyPassword(1, PASSWORDS[0]);
        await waitUntilActiveEverywhere(PASSWORDS[0]);
        await deployment.applyFault({ platformFaults: { isDown: true } });
        await killVm(VM_COUNT - 1);
        await deployment.startVm(VM_COUNT - 1);
        await waitUntilActive(VM_COUNT - 1, PASSWORDS[0]);
        expect(await isPasswordAccepted(VM_COUNT - 1, FIRST_PASSWORD)).toBe(false);
    });

    it("reaches a VM that is the only one without access to the store", async () => {
        await deployment.applyFault({ platformFaults: { cutVms: [deployment.vms[0]!.vm] } });
        await applyPassword(1, PASSWORDS[0]);
        await waitUntilActiveEverywhere(PASSWORDS[0]);
    });
});
