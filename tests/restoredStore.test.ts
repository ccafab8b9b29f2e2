import { createLogger } from "@pomeloturn/logger/createLogger";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { createInstanceRow } from "@pomeloturn/platform/support/instanceRow";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { RestorableStore } from "./support/RestorableStore.ts";
import { StoreFollower } from "./support/StoreFollower.ts";

const FEED_MARGIN_MS = 800;
const CONFIGURATION = { routes: [], services: [{ name: "ledger", max_conns: 8 }], limits: {} };
const INSTANCE = createInstanceRow({ service: "ledger", address: "127.0.0.1:9" });
const LONG_ENOUGH_MS = 3_000;
/** Time after which entries count that no instance has written again. */
const SETTLING_MS = 5_000;
const DOWN_MS = 100;

let store: RestorableStore;
let followers: StoreFollower[];

beforeEach(async () => {
    store = await RestorableStore.start();
    followers = [];
    store.write("op", "config", { ...CONFIGURATION, version: 1 });
});

afterEach(() => {
    followers.forEach(follower => follower.stop());
    store.close();
});

const follow = (): StoreFollower => {
    const follower = StoreFollower.start(store.address, createLogger("test", "vm-1"));
    followers.push(follower);
    return follower;
};

const writeOthers = (count: number): void => {
    for (let index = 0; index < count; index++) {
        store.write("servers", `other-${index}`, INSTANCE);
    }
};

/** Lets the store be away while `run` changes it. */
const duringOutage = async (follower: StoreFollower, run: () => void): Promise<void> => {
    store.isDown = true;
    store.resetConnections();
    await vi.waitFor(() => expect(follower.counters.read("store_lost")).toBeGreaterThan(0));
    run();
    store.isDown = false;
};

describe("a store that is restored from an older copy", () => {
    it("has a change of the configuration missed when its versions have passed the last one that was read", async () => {
        const follower = follow();
        await vi.waitFor(() => expect(follower.directory.routes?.version).toBe(1));
        const copy = store.newestVersion;
        writeOthers(20);
        store.write("op", "config", { ...CONFIGURATION, version: 2 });
        await vi.waitFor(() => expect(follower.directory.routes?.version).toBe(2));
        await duringOutage(follower, () => {
            store.restore(copy);
            store.write("op", "config", { ...CONFIGURATION, version: 3 });
            writeOthers(30);
        });
        await vi.waitFor(() => expect(follower.directory.routes?.version).toBe(3), { timeout: LONG_ENOUGH_MS });
    });

    it("has a feed of the former era wait on after another call has shown the new one", async () => {
        const client = StoreClient.create(store.address, FEED_MARGIN_MS);
        const copy = store.newestVersion;
        writeOthers(1);
        const { era, version } = await client.readTable("servers");
        store.restore(copy);
        client.abortCalls();
        store.write("op", "config", { ...CONFIGURATION, version: 2 });
        const feed = client.readChanges("servers", { era, version }, 2 * LONG_ENOUGH_MS);
        await client.readTable("op");
        expect(await Promise.race([feed, delay(LONG_ENOUGH_MS, "still waiting")])).toBeUndefined();
        expect(await client.readChanges("servers", { era, version }, 2 * LONG_ENOUGH_MS)).toBeUndefined();
    });

    it.each([
        ["shows a draining instance as ready", () => store.write("servers", "a", { ...INSTANCE, seq: 9, state: "draining" }), [
            "a draining",
        ], ["a"]],
        ["shows an instance that has left", () => store.delete("servers", "a"), [], ["a"]],
        ["lacks an instance that is in use", () => store.write("servers", "b", { ...INSTANCE, seq: 1 }), ["a", "b"], ["a"]],
    ])("is believed at once when it %s", async (_what, change, known, settled) => {
        store.write("servers", "a", { ...INSTANCE, seq: 4 });
        const follower = follow();
        await vi.waitFor(() => expect(follower.instances).toEqual(["a"]));
        const copy = store.newestVersion;
        change();
        await vi.waitFor(() => expect(follower.instances).toEqual(known), { timeout: LONG_ENOUGH_MS });
        await duringOutage(follower, () => store.restore(copy));
        await vi.waitFor(() => expect(follower.counters.read("store_restored")).toBe(3), { timeout: LONG_ENOUGH_MS });
        const restoredAtMs = performance.now();
        expect(follower.instances).toEqual(known);
        store.isDown = true;
        follower.tick(restoredAtMs + SETTLING_MS);
        await delay(DOWN_MS);
        expect(follower.instances).toEqual(known);
        store.isDown = false;
        follower.tick(restoredAtMs + 2 * SETTLING_MS);
        await vi.waitFor(() => expect(follower.instances).toEqual(settled));
    });
});
