import { Counters } from "@pomeloturn/logger/Counters";
import { createLogger } from "@pomeloturn/logger/createLogger";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { RowsAnswer, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { DirectoryFeeds } from "./DirectoryFeeds.ts";

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

/** Follows a store whose configuration has version 4 and whose feed then returns these rows. */
const followConfiguration = (changes: readonly StoreRow[]): { readonly directory: ServiceDirectory; readonly counters: Counters; } => {
    const directory = ServiceDirectory.create(() => {
        throw new Error("the test lists no instance");
    });
    const counters = Counters.create();
    DirectoryFeeds.create({
        reader: createReader(changes),
        store: createReader([]),
        directory,
        logger: createLogger("test", "vm-1"),
        counters,
        signal: abortController.signal,
        configurationWaitMs: 4_000,
        reportIntervalMs: 1_000,
        nowMs: () => 0,
        onConfigurationFeedFailed: () => {},
        onMembersChanged: () => {},
        onEraRead: () => {},
        onAuthorityChanged: () => {},
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
    DirectoryFeeds.create({
        reader: {
            readTable: table => Promise.resolve({ rows: table === "pomeloturn" ? rows : [], era: 1, version: 4 }),
            readChanges: () => new Promise(() => {}),
        },
        store: createReader([]),
        directory: ServiceDirectory.create(() => {
            throw new Error("the test lists no instance");
        }),
        logger: createLogger("test", "vm-1"),
        counters: Counters.create(),
        signal: abortController.signal,
        configurationWaitMs: 4_000,
        reportIntervalMs: 1_000,
        nowMs: () => 0,
        onConfigurationFeedFailed: () => {},
        onMembersChanged: listing =>
            members.push(...[...listing.members.values()].map(({ vm, failureDomain }) => `${vm} ${failureDomain}`)),
        onEraRead: () => {},
        onAuthorityChanged: (service, { holder }) => authorities.push(`${service} ${holder}`),
    }).start();
    await vi.waitFor(() => expect(members).toEqual(["broken ", "vm-2 north-a"]));
    expect(authorities).toEqual(["log vm-2"]);
});
