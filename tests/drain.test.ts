import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ControlledDeployment } from "./support/ControlledDeployment.ts";
import { WriteLoad } from "./support/WriteLoad.ts";

const VM_COUNT = 3;
const LOAD_MS = 500;
const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, LOAD_MS));

describe("a graceful shutdown of one of three VMs", () => {
    let deployment: ControlledDeployment;

    beforeEach(async () => {
        deployment = await ControlledDeployment.create(VM_COUNT);
    });

    afterEach(() => deployment.close());

    const drain = (index: number): Promise<(number | null)[]> => {
        const { controller, proxy } = deployment.vms[index]!;
        return Promise.all([controller.kill("SIGTERM"), proxy.kill("SIGTERM")]);
    };

    // VM 0 holds the primary because it is in the same failure domain.
    it.each([0, 1])("interrupts no write at any VM while VM %i is drained under load", async drainedVm => {
        const load = WriteLoad.create(deployment, [0, 0, 1, 1, 2, 2]);
        await deployment.waitFor(() => expectAcknowledgedWrite(load));
        expect(await drain(drainedVm)).toEqual([0, 0]);
        await pause();
        const { acknowledged, refused, unknown } = await load.stop();
        expect(unknown).toEqual([]);
        // A caller of the drained VM may have sent one statement before it received the shutdown error 305.
        expect(refused.filter(({ vmIndex, message }) => vmIndex !== drainedVm || !message.includes("305"))).toEqual([]);
        expect(new Set(refused.map(({ key }) => key.split("-")[0])).size).toBe(refused.length);
        const reader = await deployment.connect((drainedVm + 1) % VM_COUNT);
        const { rows } = await deployment.waitFor(() => reader.query<{ key: string; }>("SELECT key, value FROM entries"));
        const stored = new Set(rows.map(({ key }) => key));
        expect(acknowledged.filter(key => !stored.has(key))).toEqual([]);
        expect(refused.filter(({ key }) => stored.has(key))).toEqual([]);
        expect(stored.size).toBe(acknowledged.length);
    });

    it("shuts down a VM on a drain command to the controller of another VM", async () => {
        await deployment.waitFor(async () => {
            const { isOrdered } = await deployment.runCommand<{ isOrdered: boolean; }>(0, "drain", { vm: "vm-2" });
            return isOrdered || Promise.reject(new Error("the controller of vm-1 does not know vm-2 yet"));
        });
        const { controller, proxy } = deployment.vms[1]!;
        expect(await Promise.all([controller.waitForExit(), proxy.waitForExit()])).toEqual([0, 0]);
    });

    it("leaves no proxy running that connects to its controller after the drain command", async () => {
        const { controller, proxy } = deployment.vms[1]!;
        await Promise.all([controller.kill(), proxy.kill()]);
        const restarted = await deployment.startController(1);
        deployment.vms[1]!.controller = restarted;
        // The port for operators opens after the one that the start waits for.
        await deployment.waitFor(() => deployment.runCommand(1, "drain", { vm: deployment.vms[1]!.vm }));
        const late = await deployment.startProxy(1);
        deployment.vms[1]!.proxy = late;
        expect(await Promise.all([restarted.waitForExit(), late.waitForExit()])).toEqual([0, 0]);
    });

    it("lets an open transaction finish, then closes the idle connection with a shutdown error", async () => {
        const client = await deployment.connect(0);
        const connectionError = new Promise<Error>(resolve => client.on("error", resolve));
        await deployment.waitFor(() => client.query("SELECT 1"));
        await client.query("BEGIN");
        await client.query("INSERT INTO entries (key, value) VALUES ('open', 'one')");
        const exitCodes = drain(0);
        await pause();
        await client.query("COMMIT");
        expect(await connectionError).toMatchObject({ code: "57P01", detail: "result=305 effect=not run" });
        expect(await exitCodes).toEqual([0, 0]);
    });

    it("aborts a transaction that is still open at the drain deadline with a result code", async () => {
        const client = await deployment.connect(0);
        const connectionError = new Promise<Error>(resolve => client.on("error", resolve));
        await deployment.waitFor(() => client.query("SELECT 1"));
        await client.query("BEGIN");
        await client.query("INSERT INTO entries (key, value) VALUES ('open', 'one')");
        expect(await drain(0)).toEqual([0, 0]);
        expect(await connectionError).toMatchObject({ detail: "result=207 effect=not run" });
        const reader = await deployment.connect(1);
        const { rows } = await deployment.waitFor(() => reader.query("SELECT value FROM entries WHERE key = 'open'"));
        expect(rows).toEqual([]);
    });
});

const expectAcknowledgedWrite = async (load: WriteLoad): Promise<void> => {
    if (load.outcome.acknowledged.length === 0) {
        await Promise.reject(new Error("the load has no acknowledged write yet"));
    }
};
