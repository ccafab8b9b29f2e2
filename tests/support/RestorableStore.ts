import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface StoredRow {
    readonly table: string;
    readonly key: string;
    /** Base64; undefined for a deleted row. */
    readonly value: string | undefined;
    readonly ver: number;
}

interface Transaction {
    readonly expected: readonly { readonly table: string; readonly key: string; readonly ver: number; }[];
    readonly writes: readonly { readonly table: string; readonly key: string; readonly value: string; }[];
    readonly deletes: readonly { readonly table: string; readonly key: string; }[];
}

const HOST = "127.0.0.1";
const POLL_MS = 5;

const encode = (value: object): string => Buffer.from(JSON.stringify(value)).toString("base64");

/** Stand-in of the platform's store over HTTP. It can be restored from a copy, which takes back all later transactions. */
export class RestorableStore {
    /** While true, connections are reset without an answer. */
    isDown = false;
    private readonly server: Server;
    /** All changes, oldest first. */
    private history: StoredRow[] = [];
    private era = 1;
    private version = 1;

    private constructor() {
        this.server = createServer((request, response) => void this.handle(request, response));
    }

    static async start(): Promise<RestorableStore> {
        const store = new RestorableStore();
        await new Promise<void>(resolve => store.server.listen(0, HOST, resolve));
        return store;
    }

    /** "host:port" */
    get address(): string {
        return `${HOST}:${(this.server.address() as AddressInfo).port}`;
    }

    get newestVersion(): number {
        return this.version;
    }

    write(table: string, key: string, value: object): void {
        this.history.push({ table, key, value: encode(value), ver: ++this.version });
    }

    delete(table: string, key: string): void {
        this.history.push({ table, key, value: undefined, ver: ++this.version });
    }

    /** Keys of a table's rows, in order. */
    keys(table: string): string[] {
        const keys = new Set(this.history.filter(row => row.table === table).map(({ key }) => key));
        return [...keys].filter(key => this.find(table, key)?.value !== undefined).sort();
    }

    /** @returns undefined if there is no such row */
    read<Value>(table: string, key: string): Value | undefined {
        const value = this.find(table, key)?.value;
        return value === undefined ? undefined : JSON.parse(Buffer.from(value, "base64").toString("utf8")) as Value;
    }

    /** Takes back all transactions after a version. The versions after it are given out again, in the next era. */
    restore(version: number): void {
        this.history = this.history.filter(({ ver }) => ver <= version);
        this.version = version;
        this.era++;
        this.resetConnections();
    }

    resetConnections(): void {
        this.server.closeAllConnections();
    }

    close(): void {
        this.resetConnections();
        this.server.close();
    }

    private find(table: string, key: string): StoredRow | undefined {
        return this.history.findLast(row => row.table === table && row.key === key);
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { pathname, searchParams } = new URL(request.url ?? "", `http://${HOST}`);
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const handlers: Readonly<Record<string, () => Promise<readonly [number, object]> | readonly [number, object]>> = {
            "/-/rows-get": () => this.readTable(searchParams.get("table") ?? ""),
            "/-/rows-feed": () => this.readChanges(searchParams, response),
            "/-/rows-tx": () => this.transact(JSON.parse(Buffer.concat(chunks).toString("utf8")) as Transaction),
        };
        const [status, body] = this.isDown ? [0, {}] : await (handlers[pathname] ?? (() => [404, {}] as const))();
        if (this.isDown || response.destroyed) {
            response.destroy();
            return;
        }
        response.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.era) });
        response.end(JSON.stringify({ ...body, ver: this.version }));
    }

    private readTable(table: string): readonly [number, object] {
        return [200, { rows: this.keys(table).map(key => this.find(table, key)!), has_more: false }];
    }

    private async readChanges(query: URLSearchParams, response: ServerResponse): Promise<readonly [number, object]> {
        const [table, after] = [query.get("table"), Number(query.get("after"))];
        const endsAtMs = performance.now() + Number(query.get("wait_ms"));
        const era = this.era;
        for (;;) {
            if (after > this.version || era !== this.era) {
                return [410, {}];
            }
            const rows = this.history.filter(row => row.table === table && row.ver > after);
            if (rows.length > 0 || performance.now() >= endsAtMs || this.isDown || response.destroyed) {
                return [200, { rows: rows.map(row => ({ ...row, deleted: row.value === undefined })) }];
            }
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
    }

    private transact({ expected, writes, deletes }: Transaction): readonly [number, object] {
        const current = expected.map(({ table, key }) => this.find(table, key));
        const isMet = expected.every(({ ver }, index) => ver === (current[index]?.value === undefined ? 0 : current[index].ver));
        if (!isMet) {
            return [412, { rows: current.filter(row => row?.value !== undefined) }];
        }
        this.version++;
        writes.forEach(({ table, key, value }) => this.history.push({ table, key, value, ver: this.version }));
        deletes.forEach(({ table, key }) => this.history.push({ table, key, value: undefined, ver: this.version }));
        return [200, {}];
    }
}
