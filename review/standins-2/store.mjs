// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): rows only, kept in memory.
import { createServer } from "node:http";

const SYSTEM_READS_ONLY = new Set(["op", "servers"]);
const START = performance.now();

export class Store {
    #rows = new Map();
    #version = 0;
    #waiting = new Set();
    /** While true, the store is unavailable and answers 503. */
    isDown = false;
    #server = createServer((request, response) => void this.#handle(request, response));

    static async start(port) {
        const store = new Store();
        await new Promise(resolve => store.#server.listen(port, "127.0.0.1", resolve));
        return store;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Writes a row on behalf of the operator or an instance; undefined removes it. */
    put(table, key, value) {
        this.#version++;
        this.#set(table, key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64"));
        this.#wake();
        return this.#version;
    }

    goDown() {
        this.isDown = true;
        this.#server.closeAllConnections();
    }

    /** Reads a row of any table, decoded. */
    get(table, key) {
        const row = this.#table(table).get(key);
        return row?.value === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
    }

    #table(name) {
        if (!this.#rows.has(name)) {
            this.#rows.set(name, new Map());
        }
        return this.#rows.get(name);
    }

    #set(table, key, value) {
        this.#table(table).set(key, { table, part: "", key, value, ver: this.#version });
    }

    #wake() {
        [...this.#waiting].forEach(check => check());
    }

    async #handle(request, response) {
        let body = "";
        for await (const chunk of request) {
            body += chunk;
        }
        const url = new URL(request.url, "http://store");
        const answer = (status, content) => {
            response.writeHead(status, { "Content-Type": "application/json" });
            response.end(JSON.stringify({ ...content, ver: content?.ver ?? this.#version, now_ms: Math.round(performance.now() - START) }));
        };
        const handlers = {
            "/-/rows-tx": () => this.#transact(JSON.parse(body), answer),
            "/-/rows-get": () => this.#read(url.searchParams, answer),
            "/-/rows-feed": () => this.#feed(url.searchParams, answer, response),
        };
        if (this.isDown) {
            answer(503, {});
            return;
        }
        // An answer takes 4 ms.
        setTimeout(() => (handlers[url.pathname] ?? (() => answer(404, {})))(), 4);
    }

    #transact({ expected = [], writes = [], deletes = [] }, answer) {
        if ([...writes, ...deletes].some(({ table }) => SYSTEM_READS_ONLY.has(table))) {
            answer(403, {});
            return;
        }
        const current = ({ table, key }) => this.#table(table).get(key);
        const versionOf = row => row === undefined || row.value === undefined ? 0 : row.ver;
        if (expected.some(each => versionOf(current(each)) !== each.ver)) {
            answer(412, { rows: expected.map(current).filter(row => row?.value !== undefined) });
            return;
        }
        this.#version++;
        writes.forEach(({ table, key, value }) => this.#set(table, key, value));
        deletes.forEach(({ table, key }) => this.#set(table, key, undefined));
        answer(200, {});
        this.#wake();
    }

    #read(query, answer) {
        const from = query.get("from") ?? "";
        const rows = [...this.#table(query.get("table")).values()].filter(({ key, value }) => value !== undefined && key >= from)
            .sort((one, other) => one.key < other.key ? -1 : 1);
        answer(200, { rows, has_more: false });
    }

    #feed(query, answer, response) {
        const after = Number(query.get("after"));
        const find = () => [...this.#table(query.get("table")).values()].filter(({ ver }) => ver > after).sort((one, other) => one.ver - other.ver)
            .map(row => row.value === undefined ? { ...row, value: "", deleted: true } : row);
        const finish = () => {
            clearTimeout(timer);
            this.#waiting.delete(check);
            answer(this.isDown ? 503 : 200, this.isDown ? {} : { rows: find() });
        };
        const check = () => {
            if (find().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Math.min(30_000, Number(query.get("wait_ms") ?? 0)));
        response.on("close", () => {
            clearTimeout(timer);
            this.#waiting.delete(check);
        });
        this.#waiting.add(check);
        check();
    }
}
