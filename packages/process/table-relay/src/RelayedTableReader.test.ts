import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { createLogger } from "@pomeloturn/logger/createLogger";
import type { RowsAnswer, StorePoint, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { connect, createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LostDirection, SilentLink } from "../../../../tests/support/SilentLink.ts";
import { orderRelays } from "./chooseRelay.ts";
import { RelayedTableReader } from "./RelayedTableReader.ts";
import type { RelayMember } from "./RelayMember.ts";
import { RelayServer } from "./RelayServer.ts";

const DOMAIN = "north-a";
const TABLE = "t";
const HOST = "127.0.0.1";
const RELAYING_WAIT_MS = 150;
const FEED_MARGIN_MS = 800;
const logger = createLogger("test", "vm-0");

/** Store in memory with one table, whose calls can be made to fail. */
class FakeStore implements TableReader {
    readonly calls = new Map<string, number>();
    isDown = new Set<string>();
    private rows: StoreRow[] = [];
    private era = 1;
    private version = 1;

    write(key: string): void {
        this.rows = [...this.rows.filter(row => row.key !== key), { key, value: "", version: ++this.version, isDeleted: false }];
    }

    /** Takes back all writes, as after a restore from a copy. */
    restore(): void {
        this.rows = [];
        this.version = 1;
        this.era++;
    }

    readerOf(vm: string): TableReader {
        return { readTable: () => this.readTable(vm), readChanges: (_table, after, waitMs) => this.readChanges(vm, after, waitMs) };
    }

    async readTable(vm: string): Promise<RowsAnswer> {
        this.count(vm);
        return Promise.resolve({ rows: this.rows, era: this.era, version: this.version });
    }

    async readChanges(vm: string, after: StorePoint, waitMs: number): Promise<RowsAnswer | undefined> {
        this.count(vm);
        const endsAtMs = performance.now() + waitMs;
        while (performance.now() < endsAtMs && this.version <= after.version) {
            await new Promise(resolve => setTimeout(resolve, 5));
            this.refuseIfDown(vm);
            if (after.version > this.version || after.era !== this.era) {
                return undefined;
            }
        }
        return { rows: this.rows.filter(({ version }) => version > after.version), era: this.era, version: this.version };
    }

    private count(vm: string): void {
        this.calls.set(vm, (this.calls.get(vm) ?? 0) + 1);
        this.refuseIfDown(vm);
    }

    private refuseIfDown(vm: string): void {
        if (this.isDown.has(vm)) {
            throw PomeloturnError.create(ResultCode.StoreUnavailable, "down");
        }
    }
}

interface Vm {
    readonly name: string;
    readonly reader: RelayedTableReader;
    readonly server: RelayServer;
}

describe("reading tables through a relay", () => {
    let store: FakeStore;
    let vms: Vm[];
    let isStopped: boolean;
    let extraServers: Server[];

    const start = async (count: number): Promise<void> => {
        for (let index = 0; index < count; index++) {
            const name = `vm-${index}`;
            const reader = RelayedTableReader.create({
                store: store.readerOf(name),
                vm: name,
                failureDomain: DOMAIN,
                storeTimes: () => ({ waitMs: RELAYING_WAIT_MS, marginMs: FEED_MARGIN_MS }),
                relayTimes: { waitMs: 1_000, marginMs: 500 },
                nowMs: () => performance.now(),
                logger,
            });
            vms.push({ name, reader, server: RelayServer.create({ host: HOST, port: 0 }, reader, () => performance.now(), logger) });
        }
        await vi.waitFor(() => expect(vms.every(({ server }) => server.isListening)).toBe(true));
        const members: RelayMember[] = vms.map(({ name, server }) => ({
            vm: name,
            failureDomain: DOMAIN,
            relayAddress: `${HOST}:${server.port}`,
        }));
        vms.forEach(({ reader }) => reader.setMembers(members));
        const order = orderRelays(members, DOMAIN).map(({ vm }) => vm);
        vms.sort((one, other) => order.indexOf(one.name) - order.indexOf(other.name));
    };

    /** Follows the table as the proxy does, until the test ends. @returns the keys seen so far, with the time of each */
    const follow = ({ reader }: Vm): Map<string, number> => {
        const seen = new Map<string, number>();
        const run = async (): Promise<void> => {
            let point: StorePoint | undefined;
            while (!isStopped) {
                try {
                    const answer: RowsAnswer | undefined = point === undefined
                        ? await reader.readTable(TABLE)
                        : await reader.readChanges(TABLE, point, 7_000);
                    answer?.rows.forEach(({ key }) => seen.has(key) || seen.set(key, performance.now()));
                    point = answer;
                }
                catch {
                    // The store is down for this VM.
                    await new Promise(resolve => setTimeout(resolve, 50));
                }
            }
        };
        void run();
        return seen;
    };

    beforeEach(() => {
        store = new FakeStore();
        vms = [];
        isStopped = false;
        extraServers = [];
    });

    afterEach(() => {
        isStopped = true;
        vms.forEach(({ server, reader }) => {
            server.close();
            reader.setMembers([]);
        });
        extraServers.forEach(server => server.close());
    });

    it("brings a change to all VMs while one of them calls the store", async () => {
        await start(6);
        const seen = vms.map(follow);
        await vi.waitFor(() => expect(store.calls.size).toBeGreaterThan(0));
        await new Promise(resolve => setTimeout(resolve, 400));
        store.calls.clear();
        store.write("a");
        await vi.waitFor(() => expect(seen.every(keys => keys.has("a"))).toBe(true), { timeout: 500 });
        expect([...store.calls.keys()]).toEqual([vms[0]!.name]);
    });

    it("brings a change to all VMs within two seconds when the relay loses the store, but they do not", async () => {
        await start(5);
        const seen = vms.map(follow);
        await new Promise(resolve => setTimeout(resolve, 400));
        store.isDown.add(vms[0]!.name);
        store.write("a");
        await vi.waitFor(() => expect(seen.slice(1).every(keys => keys.has("a"))).toBe(true), { timeout: 2_000 });
    });

    it.each(
        [
            [LostDirection.Both, 1],
            [LostDirection.ToClient, 2],
            [LostDirection.ToServer, 1],
            [LostDirection.ToServer, 2],
        ] as const,
    )("misses a change after the connections to the relay went silent (%s, %i times)", async (lost, count) => {
        await start(5);
        const links = await Promise.all(vms.map(({ server }) => SilentLink.start(`${HOST}:${server.port}`)));
        const members = vms.map(({ name }, index) => ({ vm: name, failureDomain: DOMAIN, relayAddress: links[index]!.address }));
        vms.forEach(({ reader }) => reader.setMembers(members));
        const seen = vms.map(follow);
        await new Promise(resolve => setTimeout(resolve, 600));
        for (let index = 0; index < count; index++) {
            await links[0]!.waitForMessage(/"table":"t"/);
            expect(links[0]!.silence(lost)).toBeGreaterThan(0);
            await new Promise(resolve => setTimeout(resolve, index < count - 1 ? 5_000 : 0));
        }
        // With `ToServer`, the relay still answers the calls that wait.
        await new Promise(resolve => setTimeout(resolve, 1_100));
        store.write("a");
        await vi.waitFor(() => expect(seen.every(keys => keys.has("a"))).toBe(true), { timeout: 2_500 });
        links.forEach(link => link.close());
    });

    it("reads the store at once when no relay listens, and when one is silent, sends nonsense or answers another request", async () => {
        const replies = [undefined, () => "nonsense\n", () => `${JSON.stringify({ id: 99, status: "rows", rows: [], version: 9 })}\n`];
        for (const reply of replies) {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.on("data", () => reply === undefined || socket.write(reply()));
            });
            extraServers.push(server);
            await new Promise<void>(resolve => server.listen(0, HOST, resolve));
            const { port } = server.address() as { port: number; };
            const members = Array.from({ length: 5 }, (_each, index) => ({
                vm: `vm-${index}`,
                failureDomain: DOMAIN,
                relayAddress: `${HOST}:${port}`,
            }));
            const self = orderRelays(members, DOMAIN)[4]!.vm;
            const reader = RelayedTableReader.create({
                store: store.readerOf(self),
                vm: self,
                failureDomain: DOMAIN,
                storeTimes: () => ({ waitMs: RELAYING_WAIT_MS, marginMs: FEED_MARGIN_MS }),
                relayTimes: { waitMs: 1_000, marginMs: 500 },
                nowMs: () => performance.now(),
                logger,
            });
            reader.setMembers(members);
            const startedAtMs = performance.now();
            expect(await reader.readTable(TABLE)).toMatchObject({ version: 1 });
            expect(performance.now() - startedAtMs).toBeLessThan(2_000);
        }
    });

    it("closes the connection of a VM that sends nonsense, and serves the others", async () => {
        await start(4);
        await vms[0]!.reader.readTable(TABLE);
        const socket = connect({ host: HOST, port: vms[0]!.server.port! });
        socket.write("{}\n");
        await new Promise(resolve => socket.on("close", resolve));
        expect(await vms[1]!.reader.readTable(TABLE)).toMatchObject({ version: 1 });
        expect([...store.calls.keys()]).toEqual([vms[0]!.name]);
    });

    it("closes the connection when a source fails, and goes on", async () => {
        const failing = {
            find: (): never => {
                throw new Error("unexpected");
            },
            isLoading: () => false,
            waitForChange: () => Promise.resolve(),
        };
        const server = RelayServer.create({ host: HOST, port: 0 }, failing, () => performance.now(), logger);
        await vi.waitFor(() => expect(server.isListening).toBe(true));
        for (let attempt = 0; attempt < 2; attempt++) {
            const socket = connect({ host: HOST, port: server.port! });
            socket.write(`${JSON.stringify({ id: 1, table: TABLE, waitMs: 10 })}\n`);
            await new Promise(resolve => socket.on("close", resolve));
        }
        server.close();
    });

    it("brings changes after a restore of the store to VMs that have read higher versions before it", async () => {
        await start(5);
        const seen = vms.map(follow);
        Array.from({ length: 30 }, (_each, index) => store.write(`old-${index}`));
        await vi.waitFor(() => expect(seen.every(keys => keys.has("old-29"))).toBe(true), { timeout: 2_000 });
        store.restore();
        store.write("new");
        await vi.waitFor(() => expect(seen.every(keys => keys.has("new"))).toBe(true), { timeout: 3_000 });
    });

    it("does not take an older table from a relay than it has read before", async () => {
        await start(4);
        const [relay, follower] = vms as [Vm, Vm];
        await relay.reader.readTable(TABLE);
        follower.reader.setMembers([]);
        store.write("new");
        expect(await follower.reader.readTable(TABLE)).toMatchObject({ version: 2 });
        follower.reader.setMembers(vms.map(({ name, server }) => ({
            vm: name,
            failureDomain: DOMAIN,
            relayAddress: `${HOST}:${server.port}`,
        })));
        expect(await follower.reader.readTable(TABLE)).toMatchObject({ version: 2 });
    });
});
