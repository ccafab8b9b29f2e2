import { PlatformAuthorityStore } from "@pomeloturn/platform/PlatformAuthorityStore";
import { StoreClient } from "@pomeloturn/platform/StoreClient";
import { createInstanceRow } from "@pomeloturn/platform/support/instanceRow";
import { createUnheldAuthority } from "@pomeloturn/replace-primary/createUnheldAuthority";
import { nextFence } from "@pomeloturn/replace-primary/nextFence";
import { afterEach, beforeEach, expect, it } from "vitest";
import { RestorableStore } from "./support/RestorableStore.ts";

const FEED_MARGIN_MS = 800;
const SERVICE = "ledger";

let store: RestorableStore;
let authorities: PlatformAuthorityStore;

const connect = (): void => {
    authorities = PlatformAuthorityStore.create(StoreClient.create(store.address, FEED_MARGIN_MS));
};

/** Restores the store, which resets all connections to it. */
const restore = (version: number): void => {
    store.restore(version);
    connect();
};

beforeEach(async () => {
    store = await RestorableStore.start();
    connect();
});

afterEach(() => store.close());

const claim = async (vm: string, known = createUnheldAuthority(1)): ReturnType<typeof authorities.claim> =>
    authorities.claim(SERVICE, vm, nextFence(known), known);

it("gives the fence of a claim that the store has lost to no other VM", async () => {
    const copy = store.newestVersion;
    const lost = await claim("vm-1");
    restore(copy);
    const refused = await claim("vm-2");
    expect([lost.isApplied, refused.isApplied]).toEqual([true, false]);
    const claimed = await claim("vm-2", refused.authority);
    expect(claimed.isApplied).toBe(true);
    expect(claimed.authority.fence).toBeGreaterThan(lost.authority.fence);
});

it("lists an instance that has stepped down as the primary, or an entry that is not valid", async () => {
    const instance = createInstanceRow({ service: SERVICE, address: "127.0.0.1:9" });
    store.write("servers", "a", { ...instance, db_role: "primary" });
    store.write("servers", "a", { ...instance, db_role: "replica" });
    store.write("servers", "b", { ...instance, db_role: "primary" });
    store.write("servers", "c", { ...instance, service: "other", db_role: "primary" });
    store.write("servers", "d", { db_role: "primary" });
    const { era, instances } = await authorities.readListing();
    expect(era).toBe(1);
    expect(instances.map(({ id, service, isPrimary }) => ({ id, service, isPrimary }))).toEqual([
        { id: "a", service: SERVICE, isPrimary: false },
        { id: "b", service: SERVICE, isPrimary: true },
        { id: "c", service: "other", isPrimary: true },
    ]);
});

it("does not count a claim whose version the restored store has given to another VM's claim", async () => {
    const copy = store.newestVersion;
    const lost = await claim("vm-1");
    restore(copy);
    const claimed = await claim("vm-2", createUnheldAuthority(2));
    expect(claimed.authority.version).toBe(lost.authority.version);
    expect((await claim("vm-1", lost.authority)).isApplied).toBe(false);
    const next = await claim("vm-2", claimed.authority);
    expect(next).toMatchObject({ isApplied: true, authority: { fence: claimed.authority.fence + 1 } });
});
