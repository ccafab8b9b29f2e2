import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { authorityKey, COORDINATION_TABLE, INSTANCE_TABLE } from "@pomeloturn/platform/tables";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { EntryDeployment, type EntryDeploymentOptions, SERVICE } from "./support/EntryDeployment.ts";
import { REPORT_INTERVAL_MS } from "./support/EntryProcess.ts";
import { sendWrites } from "./support/sendWrites.ts";
import { waitForService } from "./support/waitForService.ts";

const STORE_ERA = 1;
/** Time from a crash of the primary until its replacement is over, or has been given up. */
const REPLACEMENT_MS = 8_000;

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

const createDeployment = async (options: EntryDeploymentOptions): Promise<EntryDeployment> => {
    const deployment = await EntryDeployment.create(options);
    cleanups.push(() => deployment.close());
    return deployment;
};

it("a replica that lacks acknowledged commits is promoted because the program does not pass on sync_replicas", async () => {
    const deployment = await createDeployment({ syncReplicas: 1 });
    const { group, orders } = deployment;
    const [primary, leaving, behind] = group.instances;
    const vm = await deployment.startVm();
    await delay(1_000);
    cleanups.push(sendWrites(vm.callerPort, "w"));
    await delay(500);
    leaving!.drain();
    await delay(500);
    behind!.isDeaf = true;
    await delay(1_000);
    primary!.crash();
    const acknowledged = [...group.acknowledged];
    await delay(REPLACEMENT_MS);
    expect(acknowledged.length).toBeGreaterThan(20);
    expect(orders.orders.length).toBeGreaterThan(0);
    const kept = new Set(group.primary?.log.flat());
    expect(acknowledged.filter(id => !kept.has(id))).toEqual([]);
});

it.each([
    { areFencesChecked: false, mayOrder: false },
    { areFencesChecked: true, mayOrder: true },
])(
    "a holder that the store does not answer orders a promotion as if fences were checked: $areFencesChecked",
    async ({ areFencesChecked, mayOrder }) => {
        const deployment = await createDeployment({ areFencesChecked });
        const { group, orders, store } = deployment;
        store.write(COORDINATION_TABLE, authorityKey(SERVICE, STORE_ERA), { holder: "vm-0", fence: 7 });
        const vm = await deployment.startVm();
        cleanups.push(sendWrites(vm.callerPort, "w"));
        await delay(1_000);
        deployment.storeLinks[0]!.isCut = true;
        await delay(500);
        group.primary!.crash();
        await delay(REPLACEMENT_MS);
        expect(orders.orders.map(({ fence }) => fence)).toEqual(mayOrder ? [7] : []);
    },
);

it("an instance whose row stays overwritten is used for long because the program does not pass on the interval of the reports", async () => {
    const deployment = await createDeployment({ instanceIds: ["a"] });
    const vm = await deployment.startVm();
    expect(await waitForService(vm.callerPort, "writes", REPLACEMENT_MS)).toBeLessThan(REPLACEMENT_MS);
    deployment.store.write(INSTANCE_TABLE, "a", { state: "unknown" });
    const overwrittenAtMs = performance.now();
    const isServing = async (): Promise<boolean> => {
        const caller = await LineCaller.open(vm.callerPort, "writes");
        const answer = await caller?.run(`w-${performance.now()}`, "WRITE 1a4 x");
        caller?.close();
        return answer?.kind === "complete";
    };
    while (await isServing() && performance.now() - overwrittenAtMs < 2 * REPLACEMENT_MS) {
        await delay(100);
    }
    const usedMs = performance.now() - overwrittenAtMs;
    // The instance has three intervals to write its row again.
    expect(usedMs).toBeGreaterThan(3 * REPORT_INTERVAL_MS);
    expect(usedMs).toBeLessThan(5 * REPORT_INTERVAL_MS);
});
