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

    // VM 0 is in the failure domain of the primary and so holds it.
    it.each([0, 1])("cuts no request of a load at VM %i and the others", async drained => {
        const load = WriteLoad.create(deployment, [0, 0, 1, 1, 2, 2]);
        await deployment.waitFor(() => expectWrites(load));
        expect(await drain(drained)).toEqual([0, 0]);
        await pause();
        const { acknowledged, refused, unknown } = await load.stop();
        expect(unknown).toEqual([]);
        // A caller of the drained VM may send one statement as it is told to leave.
        expect(refused.filter(({ vm, message }) => vm !== drained || !message.includes("305"))).toEqual([]);
        expect(new Set(refused.map(({ key }) => key.split("-")[0])).size).toBe(refused.length);
        const reader = await deployment.connect((drained + 1) % VM_COUNT);
        const { rows } = await deployment.waitFor(() => reader.query<{ key: string; }>("SELECT key, value FROM entries"));
        const stored = new Set(rows.map(({ key }) => key));
        expect(acknowledged.filter(key => !stored.has(key))).toEqual([]);
        expect(refused.filter(({ key }) => stored.has(key))).toEqual([]);
        expect(stored.size).toBe(acknowledged.length);
    });

    it("shuts a VM down when the controller of another VM is asked to", async () => {
        await deployment.waitFor(async () => {
            const { isOrdered } = await deployment.command<{ isOrdered: boolean; }>(0, "drain", { vm: "vm-2" });
            return isOrdered || Promise.reject(new Error("vm-2 is not known yet"));
        });
        const { controller, proxy } = deployment.vms[1]!;
        expect(await Promise.all([controller.exit(), proxy.exit()])).toEqual([0, 0]);
    });

    it("lets an open transaction finish, then tells its idle caller to leave", async () => {
        const client = await deployment.connect(0);
        const left = new Promise<Error>(resolve => client.on("error", resolve));
        await deployment.waitFor(() => client.query("SELECT 1"));
        await client.query("BEGIN");
        await client.query("INSERT INTO entries (key, value) VALUES ('open', 'one')");
        const drained = drain(0);
        await pause();
        await client.query("COMMIT");
        expect(await left).toMatchObject({ code: "57P01", detail: "result=305 effect=not run" });
        expect(await drained).toEqual([0, 0]);
    });

    it("ends a transaction that outlasts the deadline with a numbered outcome", async () => {
        const client = await deployment.connect(0);
        const left = new Promise<Error>(resolve => client.on("error", resolve));
        await deployment.waitFor(() => client.query("SELECT 1"));
        await client.query("BEGIN");
        await client.query("INSERT INTO entries (key, value) VALUES ('open', 'one')");
        expect(await drain(0)).toEqual([0, 0]);
        expect(await left).toMatchObject({ detail: "result=207 effect=not run" });
        const reader = await deployment.connect(1);
        const { rows } = await deployment.waitFor(() => reader.query("SELECT value FROM entries WHERE key = 'open'"));
        expect(rows).toEqual([]);
    });
});

const expectWrites = async (load: WriteLoad): Promise<void> => {
    if (load.outcome.acknowledged.length === 0) {
        await Promise.reject(new Error("no write yet"));
    }
};
