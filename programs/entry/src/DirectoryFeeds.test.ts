import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { Counters } from "@pomeloturn/logger/Counters";
import { createLogger } from "@pomeloturn/logger/createLogger";
import { createInstanceRow } from "@pomeloturn/platform/support/instanceRow";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RowsAnswer, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { DirectoryFeeds, type DirectoryFeedsOptions } from "./DirectoryFeeds.ts";

const REPORT_INTERVAL_MS = 1_000;

const encode = (value: object): string => Buffer.from(JSON.stringify(value)).toString("base64");

const configurationRow = (version: number): StoreRow => ({
    key: "config",
    value: encode({ version, routes: [], services: [], limits: {} }),
    version,
    isDeleted: false,
});

/** Creates a store that answers the first feed call for the configuration with these rows. All other feed calls stay pending. */
const createReader = (rows: readonly StoreRow[]): TableReader => {
    const responses: (RowsAnswer | undefined)[] = [{ rows, era: 1, version: 20 }];
    return {
        readTable: table => Promise.resolve({ rows: table === "op" ? [configurationRow(4)] : [], era: 1, version: 4 }),
        readChanges: table => table === "op" && responses.length > 0 ? Promise.resolve(responses.pop()) : new Promise(() => {}),
    };
};

/** Creates feeds of which a test states only what it looks at. */
const createFeeds = (options: Pick<DirectoryFeedsOptions, "reader"> & Partial<DirectoryFeedsOptions>): DirectoryFeeds =>
    DirectoryFeeds.create({
        store: createReader([]),
        directory: ServiceDirectory.create(() => {
            throw new Error("the test lists no instance");
        }),
        logger: createLogger("test", "vm-1"),
        counters: Counters.create(),
        signal: abortController.signal,
        feedWaitMs: 4_000,
        reportIntervalMs: REPORT_INTERVAL_MS,
        nowMs: () => 0,
        onUnexpectedError: error => {
            throw error;
        },
        onFeedFailed: () => {},
        onMembersChanged: () => {},
        onEraRead: () => {},
        onAuthorityChanged: () => {},
        ...options,
    });

/** Follows a store whose configuration has version 4 and whose feed then returns these rows. */
const followConfiguration = (changes: readonly StoreRow[]): { readonly directory: ServiceDirectory; readonly counters: Counters; } => {
    const directory = ServiceDirectory.create(() => {
        throw new Error("the test lists no instance");
    });
    const counters = Counters.create();
    createFeeds({
        reader: createReader(changes),
        directory,
        counters,
    }).start();
    return { directory, counters };
};

let abortController = new AbortController();
beforeEach(() => {
    abortController = new AbortController();
});
afterEach(() => abortController.abort());

it("applies the newest of several configurations in one feed response", async () => {
    const { directory } = followConfiguration([configurationRow(6), configurationRow(14)]);
    await vi.waitFor(() => expect(directory.routes?.version).toBe(14));
});

it("keeps the active configuration if the next one cannot be decoded", async () => {
    const { directory, counters } = followConfiguration([{ ...configurationRow(6), value: encode({ version: 6 }) }]);
    await vi.waitFor(() => expect(directory.routes?.version).toBe(4));
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(directory.routes?.version).toBe(4);
    expect(counters.read("store_lost")).toBe(0);
});

it("applies the other rows when an authority or a registration cannot be read", async () => {
    const rows = [
        { key: "authority/1/ledger", value: "%%%", version: 2, isDeleted: false },
        { key: "authority/1/orders", value: encode({ holder: 7 }), version: 2, isDeleted: false },
        { key: "vm/broken", value: "%%%", version: 2, isDeleted: false },
        { key: "authority/1/log", value: encode({ holder: "vm-2", fence: 3 }), version: 3, isDeleted: false },
        { key: "vm/vm-2", value: encode({ failureDomain: "north-a", relayAddress: "10.0.0.2:7441" }), version: 3, isDeleted: false },
    ];
    const authorities: string[] = [];
    const members: string[] = [];
    createFeeds({
        reader: {
            readTable: table => Promise.resolve({ rows: table === "pomeloturn" ? rows : [], era: 1, version: 4 }),
            readChanges: () => new Promise(() => {}),
        },
        onMembersChanged: listing =>
            members.push(...[...listing.members.values()].map(({ vm, failureDomain }) => `${vm} ${failureDomain}`)),
        onAuthorityChanged: (service, { holder }) => authorities.push(`${service} ${holder}`),
    }).start();
    await vi.waitFor(() => expect(members).toEqual(["broken ", "vm-2 north-a"]));
    expect(authorities).toEqual(["log vm-2"]);
});

describe("an odd entry among those of the instances", () => {
    const INSTANCE = createInstanceRow({ service: "ledger", address: "10.0.0.1:80" });

    const createUnusedPool = (): InstancePool =>
        ({ setLimit: () => {}, warmUp: () => {}, close: () => {}, retire: () => {}, tick: () => {} }) as unknown as InstancePool;

    const instanceRow = (key: string, version: number, value: unknown): StoreRow => ({
        key,
        value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64"),
        version,
        isDeleted: false,
    });

    const listIds = (directory: ServiceDirectory): string[] => [...directory.services.get("ledger")?.instances.keys() ?? []].sort();

    /** Follows a store that lists the instance "a" at first, and then answers with these changes. */
    const followInstances = (
        changes: readonly StoreRow[],
    ): { readonly directory: ServiceDirectory; readonly feeds: DirectoryFeeds; readonly clock: { nowMs: number; }; } => {
        const directory = ServiceDirectory.create(createUnusedPool);
        const clock = { nowMs: 0 };
        const configuration = { version: 1, routes: [], services: [{ name: "ledger", max_conns: 4 }], limits: {} };
        const tables: Readonly<Record<string, readonly StoreRow[]>> = {
            op: [{ key: "config", value: encode(configuration), version: 1, isDeleted: false }],
            servers: [instanceRow("a", 2, INSTANCE)],
        };
        const answers: (RowsAnswer | undefined)[] = [{ rows: changes, era: 1, version: 30 }];
        const feeds = createFeeds({
            reader: {
                readTable: table => Promise.resolve({ rows: tables[table] ?? [], era: 1, version: 4 }),
                readChanges: table => table === "servers" && answers.length > 0 ? Promise.resolve(answers.pop()) : new Promise(() => {}),
            },
            directory,
            nowMs: () => clock.nowMs,
        });
        feeds.start();
        return { directory, feeds, clock };
    };

    it.each<[string, unknown]>([
        ["is very deeply nested", "[".repeat(100_000) + "]".repeat(100_000)],
        ["has a field that is very deeply nested", `{"service":${"{\"a\":".repeat(20_000)}1${"}".repeat(20_000)}}`],
        ["has a number that is too large", JSON.stringify(INSTANCE).replace("\"seq\":1", "\"seq\":1e999")],
        ["has a port out of range", { ...INSTANCE, address: "10.0.0.1:70000" }],
        ["is of a service that no configuration names", { ...INSTANCE, service: "audit" }],
        ["is of a service named __proto__", { ...INSTANCE, service: "__proto__" }],
        ["is of a service whose name is not a word", { ...INSTANCE, service: "audit/nightly \r\n" }],
        ["is null", "null"],
        ["is not JSON", "\u0000\u0001"],
        ["is empty", ""],
    ])("does not stop the others from being followed when it %s", async (_what, odd) => {
        const { directory } = followInstances([instanceRow("odd", 20, odd), instanceRow("b", 21, { ...INSTANCE, address: "10.0.0.2:80" })]);
        await vi.waitFor(() => expect(listIds(directory)).toEqual(["a", "b"]));
        expect([...directory.services.keys()]).toEqual(["ledger"]);
    });

    it("does not take an instance out of use at once when it overwrites that instance's row", async () => {
        const { directory, feeds, clock } = followInstances([instanceRow("a", 20, "{}"), instanceRow("b", 21, INSTANCE)]);
        await vi.waitFor(() => expect(listIds(directory)).toEqual(["a", "b"]));
        clock.nowMs = 2 * REPORT_INTERVAL_MS;
        feeds.tick(clock.nowMs);
        expect(listIds(directory)).toEqual(["a", "b"]);
        clock.nowMs = 5 * REPORT_INTERVAL_MS;
        feeds.tick(clock.nowMs);
        expect(listIds(directory)).toEqual(["b"]);
    });
});

describe("a connection to the store that has gone silent", () => {
    const CONTACT_WAIT_MS = 3_500;

    /** Follows a store of which the feed of one table never answers. @returns the waits that were asked for, and the number of reconnects */
    const followSilent = async (silent: string): Promise<{ readonly waitsMs: Map<string, number>; readonly reconnectCount: number; }> => {
        const waitsMs = new Map<string, number>();
        let reconnectCount = 0;
        const feeds = createFeeds({
            reader: {
                readTable: () => Promise.resolve({ rows: [], era: 1, version: 4 }),
                readChanges: (table, _after, waitMs) => {
                    waitsMs.set(table, Math.max(waitMs, waitsMs.get(table) ?? 0));
                    // The client ends an overdue call.
                    return table === silent ? Promise.reject(new Error("the server did not respond")) : new Promise(() => {});
                },
            },
            feedWaitMs: CONTACT_WAIT_MS,
            onFeedFailed: () => reconnectCount++,
        });
        feeds.start();
        await vi.waitFor(() => expect(waitsMs.size).toBe(3));
        await vi.waitFor(() => expect(reconnectCount).toBeGreaterThan(0));
        return { waitsMs, reconnectCount };
    };

    it.each(["op", "servers", "pomeloturn"])("hides no change of table %s for longer than VMs may be out of contact", async table => {
        const { waitsMs, reconnectCount } = await followSilent(table);
        expect(Math.max(...waitsMs.values())).toBeLessThanOrEqual(CONTACT_WAIT_MS);
        expect(reconnectCount).toBe(1);
    });
});
