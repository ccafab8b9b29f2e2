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

/** A store whose configuration table answers one feed call; everything else waits for ever. */
const createReader = (rows: readonly StoreRow[]): TableReader => {
    const answers: (RowsAnswer | undefined)[] = [{ rows, version: 20 }];
    return {
        readTable: table => Promise.resolve({ rows: table === "op" ? [configurationRow(4)] : [], version: 4 }),
        readChanges: table => table === "op" && answers.length > 0 ? Promise.resolve(answers.pop()) : new Promise(() => {}),
    };
};

/** Follows a table of routes whose feed states these rows. */
const follow = (changes: readonly StoreRow[]): { readonly directory: ServiceDirectory; readonly counters: Counters; } => {
    const directory = ServiceDirectory.create(() => {
        throw new Error("no instance is listed");
    });
    const counters = Counters.create();
    DirectoryFeeds.create({
        reader: createReader(changes),
        directory,
        logger: createLogger("test", "vm-1"),
        counters,
        signal: stopping.signal,
        configurationWaitMs: 4_000,
        onSilent: () => {},
        onMembers: () => {},
        onAuthority: () => {},
    }).start();
    return { directory, counters };
};

let stopping = new AbortController();
beforeEach(() => {
    stopping = new AbortController();
});
afterEach(() => stopping.abort());

it("takes the newest of several versions that one answer of the feed states", async () => {
    const { directory } = follow([configurationRow(6), configurationRow(14)]);
    await vi.waitFor(() => expect(directory.routes?.version).toBe(14));
});

it("leaves the configuration in force when the next one cannot be read", async () => {
    const { directory, counters } = follow([{ ...configurationRow(6), value: encode({ version: 6 }) }]);
    await vi.waitFor(() => expect(directory.routes?.version).toBe(4));
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(directory.routes?.version).toBe(4);
    expect(counters.read("store_lost")).toBe(0);
});
