import { createServer } from "node:http";
import { HOST, sleep } from "./ports.mjs";

const ANSWER_MS = 4;
const TRANSACTION_MS = 6;
const POLL_MS = 5;
const PAGE_ROWS = 500;

const encode = value => Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");

/** Stand-in of the platform's metadata store: rows in tables with an empty part, as PROTOCOL.md says. */
export class Store {
    #rows = new Map();
    #history = [];
    #version = 1;
    #server = createServer((request, response) => void this.#handle(request, response));
    /** Number of calls that are answered, by path. */
    calls = new Map();

    /** @param onWrite called with each row that a caller of the HTTP interface writes or deletes */
    constructor(onWrite = () => {}) {
        this.onWrite = onWrite;
    }

    async start() {
        this.#server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.#server.listen(0, HOST, resolve));
    }

    get port() {
        return this.#server.address().port;
    }

    /** Writes a row as the operator or an instance does. @param value an object, or a text that need not be JSON */
    write(table, key, value) {
        this.#apply([{ table, key, value: encode(value) }], []);
    }

    delete(table, key) {
        this.#apply([], [{ table, key }]);
    }

    stop() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    #apply(writes, deletes) {
        const ver = ++this.#version;
        for (const { table, key, value } of writes) {
            this.#put({ table, part: "", key, value, ver });
        }
        for (const { table, key } of deletes) {
            this.#put({ table, part: "", key, ver, deleted: true });
        }
    }

    #put(row) {
        this.#rows.set(`${row.table}\n${row.key}`, row);
        this.#history.push(row);
    }

    #find(table, key) {
        const row = this.#rows.get(`${table}\n${key}`);
        return row?.deleted === true ? undefined : row;
    }

    async #handle(request, response) {
        const { pathname, searchParams } = new URL(request.url, `http://${HOST}`);
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const [status, body] = await this.#answer(pathname, searchParams, Buffer.concat(chunks).toString("utf8"), response);
        this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1);
        if (!response.destroyed) {
            response.writeHead(status, { "Content-Type": "application/json" });
            response.end(JSON.stringify({ ...body, ver: this.#version, now_ms: Math.floor(performance.now()) }));
        }
    }

    async #answer(pathname, query, body, response) {
        if (pathname === "/-/rows-get") {
            await sleep(ANSWER_MS);
            return this.#read(query);
        }
        if (pathname === "/-/rows-feed") {
            return this.#feed(query, response);
        }
        if (pathname === "/-/rows-tx") {
            await sleep(TRANSACTION_MS);
            return this.#transact(JSON.parse(body));
        }
        return [404, {}];
    }

    #read(query) {
        const from = query.get("from") ?? "";
        const rows = [...this.#rows.values()]
            .filter(row => row.table === query.get("table") && row.deleted !== true && row.key >= from)
            .sort((one, other) => one.key < other.key ? -1 : 1);
        return [200, { rows: rows.slice(0, PAGE_ROWS), has_more: rows.length > PAGE_ROWS }];
    }

    async #feed(query, response) {
        const endsAtMs = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            const rows = this.#history.filter(row => row.table === query.get("table") && row.ver > Number(query.get("after")));
            if (rows.length > 0 || performance.now() >= endsAtMs || response.destroyed) {
                return [200, { rows }];
            }
            await sleep(POLL_MS);
        }
    }

    #transact({ expected = [], writes = [], deletes = [] }) {
        const isMet = expected.every(({ table, key, ver }) => (this.#find(table, key)?.ver ?? 0) === ver);
        const isForbidden = [...writes, ...deletes].some(({ table }) => table === "op" || table === "servers");
        if (isForbidden) {
            return [403, {}];
        }
        if (!isMet) {
            return [412, { rows: expected.map(({ table, key }) => this.#find(table, key)).filter(row => row !== undefined) }];
        }
        this.#apply(writes, deletes);
        [...writes, ...deletes].forEach(row => this.onWrite(row));
        return [200, {}];
    }
}
