import type pg from "pg";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ControlledDeployment } from "./support/ControlledDeployment.ts";

const VM_COUNT = 3;
const LONG_PAUSE_MS = 1_000;
const INSERT = "INSERT INTO entries (key, value) VALUES ($1, 'one') ON CONFLICT DO NOTHING";
const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, LONG_PAUSE_MS));

describe("replacement of the primary with three VMs", () => {
    let deployment: ControlledDeployment;
    let clients: pg.Client[];

    beforeEach(async () => {
        deployment = await ControlledDeployment.create(VM_COUNT);
        clients = await Promise.all([0, 1, 2].map(index => deployment.connect(index)));
        await deployment.waitFor(() => clients[0]!.query(INSERT, ["before"]));
    });

    afterEach(() => deployment.close());

    const write = (index: number, key: string): Promise<unknown> => deployment.waitFor(() => clients[index]!.query(INSERT, [key]));

    const readAll = async (index: number): Promise<string[]> => {
        const { rows } = await deployment.waitFor(() => clients[index]!.query<{ key: string; }>("SELECT key, value FROM entries"));
        return rows.map(({ key }) => key).sort();
    };

    it("promotes a replica when the primary stops", async () => {
        await pause();
        await deployment.applyFault({ group: "log-1", instance: "one", instanceFaults: { isStopped: true } });
        await write(1, "after");
        expect(await deployment.readTerms()).toEqual([2]);
        expect(await readAll(2)).toEqual(["after", "before"]);
    });

    it("acknowledges no write that is missing at the new primary when the old primary is cut off from all VMs", async () => {
        await pause();
        await deployment.applyFault({ group: "log-1", instance: "one", instanceFaults: { cutVms: ["vm-1", "vm-2", "vm-3"] } });
        const isolated = clients[0]!.query(INSERT, ["isolated"]).then(() => true, () => false);
        await write(1, "after");
        expect(await deployment.readTerms()).toEqual([2]);
        await deployment.applyFault({ group: "log-1", instance: "one", instanceFaults: { cutVms: [] } });
        const isAcknowledged = await isolated;
        const keys = await readAll(2);
        expect(keys).toContain("after");
        // A write that exists only at the old primary must not have been acknowledged.
        expect(!isAcknowledged || keys.includes("isolated")).toBe(true);
    });

    it.each([0, 1, 2])("does not promote when the controller of VM %i pauses for 1 s", async paused => {
        deployment.vms[paused]!.controller.signal("SIGSTOP");
        await pause();
        deployment.vms[paused]!.controller.signal("SIGCONT");
        await pause();
        await write(0, "after");
        expect(await deployment.readTerms()).toEqual([1]);
    });

    it("replaces a primary that stopped during a store outage once the store is available again", async () => {
        await pause();
        await deployment.applyFault({ platformFaults: { isDown: true } });
        await write(1, "during");
        await pause();
        await deployment.applyFault({ group: "log-1", instance: "one", instanceFaults: { isStopped: true } });
        await pause();
        await deployment.applyFault({ platformFaults: { isDown: false } });
        await write(2, "after");
        // The session that wrote last must see its own write and every write acknowledged before it.
        expect(await readAll(2)).toEqual(["after", "before", "during"]);
    });
});
