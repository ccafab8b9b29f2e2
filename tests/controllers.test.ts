import type { SystemStatus } from "@pomeloturn/types/SystemStatus";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ControlledDeployment } from "./support/ControlledDeployment.ts";

const VM_COUNT = 3;

describe("three VMs with a controller and a proxy each", () => {
    let deployment: ControlledDeployment;

    beforeEach(async () => {
        deployment = await ControlledDeployment.create(VM_COUNT);
    });

    afterEach(() => deployment.close());

    const write = async (index: number, key: string): Promise<void> => {
        const client = await deployment.connect(index);
        await deployment.waitFor(() => client.query("INSERT INTO entries (key, value) VALUES ($1, 'one') ON CONFLICT DO NOTHING", [key]));
    };

    it("serves writes and reads at every proxy", async () => {
        for (let index = 0; index < VM_COUNT; index++) {
            await write(index, `key-${index}`);
        }
        const client = await deployment.connect(0);
        const read = await client.query("SELECT count(*) FROM entries");
        expect(read.rows).toEqual([{ count: "3" }]);
    });

    it.each([0, 1, 2])("continues to serve after VM %i is killed, and serves at it again after a restart", async killed => {
        await write((killed + 1) % VM_COUNT, "before");
        await Promise.all([deployment.vms[killed]!.controller.kill("SIGKILL"), deployment.vms[killed]!.proxy.kill("SIGKILL")]);
        await write((killed + 1) % VM_COUNT, "after");
        await deployment.startVm(killed);
        await write(killed, "returned");
    });

    it("reports the status of the system to operators", async () => {
        await write(0, "before");
        const status = await deployment.waitFor(async () => {
            const current = await deployment.runCommand<SystemStatus>(1, "status");
            return Object.keys(current.vms).length === VM_COUNT
                ? current
                : Promise.reject(new Error(`the controller knows ${Object.keys(current.vms).length} of ${VM_COUNT} VMs`));
        });
        expect(status).toMatchObject({ vm: "vm-2", configVersion: 1, groups: { "log-1": { term: 1, primary: "one" } } });
        expect(Object.values(status.groups["log-1"]!.instances).map(({ isReachable }) => isReachable)).toEqual([true, true, true]);
        expect(status.vms["vm-2"]).toMatchObject({ failureDomain: "cluj-b", state: "live", configVersion: 1 });
    });

    it("serves reads from the last known view while no controller runs", async () => {
        await write(0, "before");
        const client = await deployment.connect(0, "-c pomeloturn.token=new");
        await Promise.all(deployment.vms.map(({ controller }) => controller.kill("SIGKILL")));
        const read = await client.query("SELECT value FROM entries WHERE key = 'before'");
        expect(read.rows).toEqual([{ value: "one" }]);
    });

    it("starts a VM during a store outage", async () => {
        await write(0, "before");
        // During a store outage no VM can take over from a killed holder, so a VM other than the holder is restarted.
        const killed = (await deployment.findPrimaryHolderIndex()) === 2 ? 1 : 2;
        await Promise.all([deployment.vms[killed]!.controller.kill("SIGKILL"), deployment.vms[killed]!.proxy.kill("SIGKILL")]);
        await deployment.applyFault({ platformFaults: { isDown: true } });
        await deployment.startVm(killed);
        await write(killed, "during");
    });
});
