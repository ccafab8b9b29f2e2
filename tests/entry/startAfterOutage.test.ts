import { feedCallOf } from "@pomeloturn/platform/support/feedCallOf";
import { INSTANCE_TABLE } from "@pomeloturn/platform/tables";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { LostDirection } from "../support/SilentLink.ts";
import { EntryDeployment } from "./support/EntryDeployment.ts";
import { sendWrites } from "./support/sendWrites.ts";
import { silenceAfterCall } from "./support/silenceAfterCall.ts";

/** Time from the store's return until everything is served again. */
const RECOVERY_MS = 12_000;
const POLL_MS = 50;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

/** When each instance is listed again after the store's return, in milliseconds; undefined for one that is lost in the outage. */
type Returns = Readonly<Record<string, number | undefined>>;

/**
 * Takes the store down until all entries have expired. Two VMs start as it returns. Of the replicas, only "b" receives.
 *
 * @returns the deployment once an instance that was alive leads, and the ids of the writes that were acknowledged before
 */
const restartInOutage = async (
    returns: Returns,
): Promise<{ readonly deployment: EntryDeployment; readonly acknowledged: readonly string[]; }> => {
    const deployment = await EntryDeployment.create({ syncReplicas: 1 });
    cleanups.push(() => deployment.close());
    const { group, store } = deployment;
    const vms = [await deployment.startVm(), await deployment.startVm()];
    await delay(500);
    group.instances.find(({ id }) => id === "c")!.isDeaf = true;
    vms.forEach(({ callerPort }, index) => cleanups.push(sendWrites(callerPort, `w${index}`)));
    await delay(1_000);
    store.isDown = true;
    store.resetConnections();
    deployment.vms.forEach(vm => vm.kill());
    const acknowledged = [...group.acknowledged];
    group.instances.filter(({ id }) => returns[id] === undefined).forEach(instance => instance.crash());
    group.instances.forEach(({ id }) => store.delete(INSTANCE_TABLE, id));
    await delay(500);
    store.isDown = false;
    await Promise.all(vms.map((_vm, index) => deployment.respawnVm(index)));
    group.instances.forEach(instance => setTimeout(() => instance.register(), returns[instance.id]));
    return { deployment, acknowledged };
};

it.each<[what: string, returns: Returns, leader: string]>([
    ["while the primary and the replica with every commit are not listed yet", { a: 1_900, b: 1_800, c: 100 }, "a"],
    ["while the replica with every commit is not listed yet, and the primary is lost", { a: undefined, b: 1_800, c: 100 }, "b"],
])(
    "VMs that have started after an outage of the store promote a replica that lacks acknowledged commits %s",
    async (_what, returns, leader) => {
        const { deployment: { group, orders }, acknowledged } = await restartInOutage(returns);
        await delay(RECOVERY_MS);
        expect(acknowledged.length).toBeGreaterThan(20);
        expect(orders.orders.map(({ id }) => id)).toEqual(leader === "a" ? [] : [leader]);
        expect(group.primary?.id).toBe(leader);
        const kept = new Set(group.primary?.log.flat());
        expect(acknowledged.filter(id => !kept.has(id))).toEqual([]);
    },
);

it("VMs that have started after an outage of the store do not promote the only instance that is left", async () => {
    const { deployment: { group } } = await restartInOutage({ a: undefined, b: undefined, c: 100 });
    const endsAtMs = performance.now() + RECOVERY_MS;
    while (group.primary === undefined && performance.now() < endsAtMs) {
        await delay(POLL_MS);
    }
    expect(group.primary?.id).toBe("c");
});

it("the listing counts as complete while it shows a replica that this VM has not heard of", async () => {
    const deployment = await EntryDeployment.create({ syncReplicas: 1, instanceIds: ["a", "b"] });
    cleanups.push(() => deployment.close());
    const vm = await deployment.startVm({ isLogKept: true });
    const feed = feedCallOf(INSTANCE_TABLE);
    await silenceAfterCall(deployment.storeLinks[0]!, feed, LostDirection.Both, feed);
    await deployment.group.add("c");
    const endsAtMs = performance.now() + RECOVERY_MS;
    while (!vm.log.includes("the listing of the instances is complete") && performance.now() < endsAtMs) {
        await delay(POLL_MS);
    }
    const [before, after] = vm.log.split("the listing of the instances is complete");
    expect(after).toBeDefined();
    expect(before).toMatch(/an instance was added or updated.*"id":"c"/);
});
