// Stand-ins of the platform (store, orders), of database instances and of requesters, for the scripts of this review.
// They follow PROTOCOL.md and use loopback addresses and free ports only.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

export const HOST = "127.0.0.1";
export const CONTACT_MS = 5_000;
const HEARTBEAT_MS = 1_200;

export const delay = ms => new Promise(done => setTimeout(done, ms));

const listen = server => new Promise(done => server.listen(0, HOST, () => done(server.address().port)));

/** Reserves free ports by binding all of them before releasing any. */
export const findPorts = async count => {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(servers.map(listen));
    await Promise.all(servers.map(server => new Promise(done => server.close(done))));
    return ports;
};

/** Writes record.txt in the folder of the case. */
export class Record {
    constructor(file) {
        this.stream = createWriteStream(file);
        this.startedAt = performance.now();
    }
    add(text) {
        this.stream.write(`${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}\n`);
    }
    close() {
        return new Promise(done => this.stream.end(done));
    }
}

/** The platform's store: rows with versions from one counter, snapshots, feeds and conditional transactions. */
export class Store {
    rows = new Map();
    ver = 0;
    waiting = new Set();
    async start() {
        this.server = createHttpServer((request, response) => void this.handle(request, response));
        this.address = `${HOST}:${await listen(this.server)}`;
        return this;
    }
    write(table, key, value) {
        this.ver++;
        this.put(table, key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64"));
        this.wake();
    }
    put(table, key, value) {
        const row = { table, part: "", key, ver: this.ver, ...(value === undefined ? { deleted: true } : { value }) };
        this.rows.set(`${table}\n${key}`, row);
    }
    wake() {
        [...this.waiting].forEach(check => check());
    }
    list(table) {
        return [...this.rows.values()].filter(row => row.table === table);
    }
    async handle(request, response) {
        let body = "";
        for await (const chunk of request) {
            body += String(chunk);
        }
        const url = new URL(request.url, "http://store");
        const query = name => url.searchParams.get(name) ?? "";
        const answer = (status, content) => {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify({ ...content, ver: this.ver, now_ms: Math.round(performance.now()) }));
        };
        if (url.pathname === "/-/rows-get") {
            const rows = this.list(query("table")).filter(({ deleted, key }) => !deleted && key >= query("from"))
                .sort((one, other) => one.key < other.key ? -1 : 1);
            answer(200, { rows, has_more: false });
        }
        else if (url.pathname === "/-/rows-feed") {
            this.feed(query("table"), Number(query("after")), Number(query("wait_ms")), answer, response);
        }
        else if (url.pathname === "/-/rows-tx") {
            await delay(4);
            this.transact(JSON.parse(body), answer);
        }
        else {
            answer(404, {});
        }
    }
    feed(table, after, waitMs, answer, response) {
        const find = () => this.list(table).filter(({ ver }) => ver > after).sort((one, other) => one.ver - other.ver);
        const finish = () => {
            clearTimeout(timer);
            this.waiting.delete(check);
            answer(200, { rows: find() });
        };
        const check = () => find().length > 0 && finish();
        const timer = setTimeout(finish, waitMs);
        this.waiting.add(check);
        response.on("close", () => {
            clearTimeout(timer);
            this.waiting.delete(check);
        });
        check();
    }
    transact({ expected = [], writes = [], deletes = [] }, answer) {
        const current = ({ table, key }) => this.rows.get(`${table}\n${key}`);
        const version = row => row === undefined || row.deleted ? 0 : row.ver;
        if (expected.some(each => version(current(each)) !== each.ver)) {
            answer(412, { rows: expected.map(current).filter(row => row !== undefined && !row.deleted) });
            return;
        }
        this.ver++;
        writes.forEach(({ table, key, value }) => this.put(table, key, value));
        deletes.forEach(({ table, key }) => this.put(table, key, undefined));
        this.wake();
        answer(200, {});
    }
    close() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

/** The platform's interface for orders. */
export class Orders {
    constructor(record, onPromote) {
        this.record = record;
        this.onPromote = onPromote;
    }
    newestFences = new Map();
    /** Replaced by a case: returns what becomes of an order, "run", "lose" or a status. */
    decide = () => "run";
    async start() {
        this.server = createHttpServer((request, response) => void this.handle(request, response));
        this.address = `${HOST}:${await listen(this.server)}`;
        return this;
    }
    async handle(request, response) {
        let body = "";
        for await (const chunk of request) {
            body += String(chunk);
        }
        const { service, id } = JSON.parse(body);
        const fence = Number(request.headers["pomeloturn-fencing-token"]);
        const holder = request.headers["pomeloturn-lease-holder"];
        const decision = this.decide({ service, id, fence, holder });
        this.record.add(`promote ${service} ${id} holder=${holder} fence=${fence}: ${decision}`);
        if (decision === "lose") {
            return;
        }
        const status = decision === "run" ? this.run(service, id, fence) : decision;
        response.writeHead(status);
        response.end();
    }
    run(service, id, fence) {
        if (fence < (this.newestFences.get(service) ?? 0)) {
            return 409;
        }
        this.newestFences.set(service, fence);
        return this.onPromote(service, id) ? 200 : 409;
    }
    close() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

/** One instance of a database group. Statements of requesters take `workMs` and a slot is not modelled. */
export class Instance {
    log = [];
    term = 1;
    heldTerm = 0;
    isPrimary = false;
    isDraining = false;
    isDown = false;
    isDark = false;
    /** Names of the machines that this instance is partitioned from. */
    cutFrom = new Set();
    sockets = new Set();
    seq = 0;
    born = Date.now();
    constructor(group, id) {
        this.group = group;
        this.id = id;
    }
    async start(port = 0) {
        this.server = createServer(socket => this.accept(socket));
        await new Promise(done => this.server.listen(port, HOST, done));
        this.port = this.server.address().port;
        this.beat = setInterval(() => this.report(), HEARTBEAT_MS);
        this.report();
        return this;
    }
    report() {
        if (this.isDown || this.isDark) {
            return;
        }
        const { service, store } = this.group;
        store.write("servers", this.id, {
            service, address: `${HOST}:${this.port}`, zone: this.group.zone, version: "v1", slots: 2,
            state: this.isDraining ? "draining" : "ready", cold_remaining_ms: 0,
            db_role: this.isPrimary ? "primary" : "replica", born: this.born, seq: ++this.seq,
        });
    }
    get position() {
        return `${this.term}.${this.log.length}`;
    }
    accept(socket) {
        const state = { status: "I", writes: [], prepared: new Map(), values: new Map(), isStarted: false };
        let received = "";
        let queue = Promise.resolve();
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            if (this.isDark) {
                return;
            }
            const lines = (received + chunk.toString("latin1")).split("\r\n");
            received = lines.pop();
            for (const line of lines) {
                queue = queue.then(() => this.answer(line, state, socket));
            }
        });
    }
    async answer(line, state, socket) {
        const isSilent = () => socket.destroyed || this.isDark || this.cutFrom.has(state.caller);
        const [word, id = "", ...fields] = line.split(" ");
        if (word === "STARTUP") {
            state.caller = fields[0];
        }
        if (isSilent()) {
            return;
        }
        const write = text => isSilent() ? undefined : socket.write(text, "latin1");
        if (word === "STARTUP") {
            if (id !== this.group.service || (fields[1] ?? this.id) !== this.id) {
                socket.end("ERROR MISROUTED other\r\n");
                return;
            }
            await delay(this.group.handshakeMs);
            write(`READY I ${this.position}\r\n`);
            return;
        }
        const after = fields[0] === "AFTER" ? fields[1] : undefined;
        const command = after === undefined ? fields : fields.slice(2);
        if (id !== "-") {
            this.group.onArrived(this, id, command);
        }
        const answer = after !== undefined && this.lacks(after)
            ? "ERROR LAGGING behind\r\n"
            : await this.run(id, command, state);
        this.group.onAnswered(this, id, command, answer);
        write(`${answer}READY ${state.status} ${this.position}\r\n`);
    }
    lacks(after) {
        const [term, number] = after.split(".").map(Number);
        return term > this.term || (term === this.term && number > this.log.length);
    }
    mac(id) {
        return `${this.id}.${id}`;
    }
    async run(id, command, state) {
        const [name, ...rest] = command;
        const done = "COMPLETE -\r\n";
        const proved = `COMPLETE ${this.mac(id)}\r\n`;
        const fail = code => {
            state.status = state.status === "I" ? "I" : "E";
            return `ERROR ${code} ${this.id}\r\n`;
        };
        if (name === "STATUS" || name === "PAUSE" || name === "RESUME" || name === "STEPDOWN") {
            const term = Number(rest[0]);
            if (name === "PAUSE" && !this.isPrimary && term > this.term) {
                this.heldTerm = term;
            }
            if (name === "RESUME") {
                this.heldTerm = 0;
            }
            if (name === "STEPDOWN" && this.isPrimary && this.term < term) {
                this.isPrimary = false;
                this.report();
            }
            const role = this.isPrimary ? "primary" : "replica";
            return `DATAROW ${role} ${this.term} ${this.position} ${this.heldTerm} 0 0 ${this.sockets.size}\r\n${done}`;
        }
        if (name === "RESET") {
            state.values.clear();
            state.prepared.clear();
            return done;
        }
        if (name === "SET") {
            state.values.set(rest[0], rest.slice(1).join(" "));
            return done;
        }
        if (name === "PREPARE") {
            state.prepared.set(rest[0], { isWrite: rest[1] === "WRITE" });
            return done;
        }
        if (name === "CLOSE") {
            state.prepared.delete(rest[0]);
            return done;
        }
        if (name === "ROLLBACK") {
            state.status = "I";
            state.writes = [];
            return done;
        }
        if (state.status === "E") {
            return fail("MALFORMED");
        }
        if (name === "BEGIN") {
            if (rest[0] !== "READ" && !this.isPrimary) {
                return fail("READONLY");
            }
            Object.assign(state, { status: "T", writes: [], isReadOnly: rest[0] === "READ" });
            return done;
        }
        await delay(this.group.workMs);
        if (name === "COMMIT") {
            const { writes } = state;
            if (writes.length > 0 && !this.isPrimary) {
                return fail("READONLY");
            }
            state.status = "I";
            state.writes = [];
            return writes.length === 0 ? proved : this.commit(writes, proved);
        }
        const prepared = name === "EXECUTE" ? state.prepared.get(rest[0]) : undefined;
        if (name === "EXECUTE" && prepared === undefined) {
            return fail("NOSTMT");
        }
        const isWrite = name === "WRITE" || prepared?.isWrite === true;
        const isPlain = state.status === "T" && !state.isReadOnly;
        if ((isWrite || isPlain) && !this.isPrimary) {
            return fail("READONLY");
        }
        if (!isWrite) {
            return this.group.rowsOf(id, command) + proved;
        }
        if (state.status === "T") {
            state.writes.push(id);
            return proved;
        }
        return this.commit([id], proved);
    }
    /** Appends a commit, and acknowledges it once `syncReplicas` replicas have received it. */
    async commit(writes, proved) {
        this.log.push(writes);
        const number = this.log.length;
        const { term } = this;
        for (;;) {
            const replicas = this.group.instances.filter(each => each !== this && !each.isDown);
            const received = (await Promise.all(replicas.map(each => each.receive(this, number)))).filter(Boolean).length;
            if (!this.isPrimary || this.isDown || this.term !== term || this.log[number - 1] !== writes) {
                return `ERROR TIMEOUT ${this.id}\r\n`;
            }
            if (received >= this.group.syncReplicas) {
                return proved;
            }
            await delay(10);
        }
    }
    /** Receives the commits of the primary up to a number, which it has sent before. What is on its way arrives although it has stepped down since. */
    async receive(primary, number) {
        const { term } = primary;
        const sent = primary.log.slice(0, number);
        await delay(this.group.lagMs);
        const mayReceive = !this.isDown && !this.isDark && this.heldTerm <= term && this.term <= term && this.group.term <= term;
        if (mayReceive) {
            this.term = term;
            this.log.push(...sent.slice(this.log.length));
        }
        return this.term === term && this.log.length >= number && this.log[number - 1] === sent[number - 1];
    }
    drain() {
        this.isDraining = true;
        this.report();
    }
    /** Ends without a report: open connections are reset, new ones refused. */
    crash() {
        this.isDown = true;
        this.isPrimary = false;
        clearInterval(this.beat);
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }
    close() {
        clearInterval(this.beat);
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}

/** A database group: one service, the first instance its primary. */
export class Group {
    instances = [];
    /** Newest term in which an instance leads. */
    term = 1;
    workMs = 2;
    lagMs = 5;
    handshakeMs = 2;
    promoteMs = 300;
    syncReplicas = 0;
    zone = "zone-a";
    onArrived = () => {};
    onAnswered = () => {};
    /** Called right before an instance that was promoted leads, with what it had received. */
    onLead = () => {};
    rowsOf = () => "DATAROW data\r\n";
    constructor(service, store, record) {
        Object.assign(this, { service, store, record });
    }
    /** Starts an instance. The first one is the primary; a later one starts with the log of the primary. */
    async add(id) {
        const instance = new Instance(this, id);
        const { primary } = this;
        instance.isPrimary = this.instances.length === 0;
        if (primary !== undefined) {
            Object.assign(instance, { term: primary.term, log: [...primary.log] });
        }
        this.instances.push(instance);
        return instance.start();
    }
    get primary() {
        return this.instances.find(({ isPrimary, isDown }) => isPrimary && !isDown);
    }
    /** @returns whether the instance is running */
    promote(id) {
        const next = this.instances.find(each => each.id === id);
        if (next === undefined || next.isDown || next.isDark) {
            return false;
        }
        if (!next.isPrimary) {
            setTimeout(() => this.lead(next), this.promoteMs);
        }
        return true;
    }
    lead(next) {
        if (next.isDown) {
            return;
        }
        this.onLead(next);
        const term = Math.max(...this.instances.map(each => each.term)) + 1;
        this.term = term;
        for (const each of this.instances) {
            Object.assign(each, { term, heldTerm: 0, isPrimary: each === next });
            each.log.splice(next.log.length);
        }
        this.instances.forEach(each => each.report());
        this.record.add(`${this.service}: ${next.id} leads term ${term}`);
    }
    close() {
        this.instances.forEach(each => each.close());
    }
}

/** Writes the operator's configuration. */
export const configure = (store, version, routes, services) =>
    store.write("op", "config", { version, routes, services, limits: { tx_idle_ms: 3_000 } });

export const createRoute = (host, service, type, more = {}) => ({
    host, service, type, timeout_ms: 2_000, target_latency_ms: 500, priority: 0,
    ...(type === "primary" ? {} : { max_staleness_ms: 1_500 }), ...more,
});

/** Processes that run, ended in any case when the script ends. */
const children = new Set();
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));
["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.on(signal, () => process.exit(2)));

/** A process of the system, started with the command of the deploy file. */
export class Proxy {
    output = "";
    exit = undefined;
    constructor(root, record, node, zone = "zone-a") {
        Object.assign(this, { root, record, node, zone });
    }
    async start(store, orders, { isFirst = true, memoryMb = 350 } = {}) {
        const [front, ready, metrics, relay] = await findPorts(4);
        Object.assign(this, { front, ready });
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.file = join(this.folder, "node.json");
        const fields = {
            node: this.node, zone: this.zone, zones: { [this.zone]: "region-a" },
            "listen.front": `${HOST}:${front}`, "listen.ready": `${HOST}:${ready}`, ip: HOST,
            "port_range.0": metrics, "port_range.1": relay, "platform.address": store.address, "cloud_api.address": orders.address,
            "bounds.grace_s": 6, "bounds.contact_ms": CONTACT_MS, heartbeat_ms: HEARTBEAT_MS, bootstrap: isFirst,
            "bounds.require_fence": true, "limits.memory_mb": memoryMb, "limits.max_fds": 4_200,
        };
        const template = readFileSync(join(this.root, "deploy/settings.json"), "utf8")
            .replace(/{{#bounds\.quota_window_s}}[^]*{{\/bounds\.quota_window_s}}/, "")
            .replace(/{{([\w.]+)(\|json)?}}/g, (_all, name, json) => json ? JSON.stringify(fields[name]) : String(fields[name]));
        writeFileSync(this.file, template);
        return this.run();
    }
    async run() {
        const [program, ...words] = readRun(this.root);
        this.child = spawn(program, words, {
            cwd: this.root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, POMELOTURN_BOOT: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const { child } = this;
        children.add(child);
        child.on("exit", () => children.delete(child));
        this.exit = undefined;
        this.record.add(`${this.node} started`);
        const collect = chunk => {
            this.output = (this.output + String(chunk)).slice(-200_000);
        };
        this.child.stdout.on("data", collect);
        this.child.stderr.on("data", collect);
        this.exited = new Promise(done => this.child.on("exit", (code, signal) => {
            this.exit = { code, signal };
            this.record.add(`${this.node} ended: code ${code}, signal ${signal}`);
            done(this.exit);
        }));
        return this;
    }
    async untilReady(limitMs = 15_000) {
        const endsAt = performance.now() + limitMs;
        while (performance.now() < endsAt && this.exit === undefined) {
            if (await fetch(`http://${HOST}:${this.ready}/-/ready`).then(({ status }) => status === 200, () => false)) {
                this.record.add(`${this.node} is ready`);
                return true;
            }
            await delay(100);
        }
        return false;
    }
    get memoryMb() {
        try {
            return Number(/^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${this.child.pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
        }
        catch {
            return 0;
        }
    }
    kill(signal) {
        this.record.add(`${signal} to ${this.node}`);
        this.child.kill(signal);
    }
    async stop() {
        if (this.child !== undefined && this.exit === undefined) {
            this.child.kill("SIGKILL");
            await this.exited;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

const readRun = root => /^run = "(.*)"/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");

/** A requester's session: one statement at a time. */
export class Caller {
    received = "";
    rows = 0;
    last = "";
    resolve = undefined;
    constructor(port) {
        this.socket = connect({ host: HOST, port });
        this.socket.setNoDelay(true);
        this.socket.on("data", chunk => this.receive(chunk.toString("latin1")));
        this.socket.on("error", () => this.socket.destroy());
        this.socket.on("end", () => this.socket.destroy());
        this.socket.on("close", () => this.settle({ kind: "broken", text: this.last }));
    }
    static async open(port, database) {
        const caller = new Caller(port);
        const answer = await caller.send(`STARTUP ${database} u1\r\n`, 2_000);
        caller.isOpen = answer.kind === "complete";
        return caller;
    }
    run(id, text, limitMs = 5_000) {
        return this.send(`QUERY ${id} ${text}\r\n`, limitMs);
    }
    send(message, limitMs) {
        return new Promise(done => {
            if (this.socket.destroyed) {
                done({ kind: "broken", text: "" });
                return;
            }
            const timer = setTimeout(() => this.settle({ kind: "silent", text: "" }), limitMs);
            this.rows = 0;
            this.last = "";
            this.resolve = answer => {
                clearTimeout(timer);
                done(answer);
            };
            this.socket.write(message, "latin1");
        });
    }
    settle(answer) {
        const { resolve: done } = this;
        this.resolve = undefined;
        done?.(answer);
    }
    receive(text) {
        const lines = (this.received + text).split("\r\n");
        this.received = lines.pop();
        for (const line of lines) {
            if (line.startsWith("DATAROW")) {
                this.rows++;
            }
            else if (line.startsWith("READY")) {
                const kind = this.last.startsWith("ERROR ") ? "error" : "complete";
                this.settle({ kind, text: this.last.slice(this.last.indexOf(" ") + 1), state: line.split(" ")[1], rows: this.rows });
            }
            else {
                this.last = line;
            }
        }
    }
    close() {
        this.socket.destroy();
    }
}

let lastId = 0;
export const nextId = () => (0x1000000000 + ++lastId).toString(16).padStart(16, "0");

/** Starts the platform, one group of three instances and proxies, and runs a case. Exits with 1 if it returns false, with 2 on an error. */
export const runCase = async (folder, setUp) => {
    const record = new Record(join(folder, "record.txt"));
    const root = resolve(folder, "../..");
    const hasTrouble = process.env.TROUBLE !== "0";
    record.add(`start; the disruption is ${hasTrouble ? "on" : "off"}`);
    const ending = [];
    let code = 2;
    const guard = setTimeout(() => {
        record.add("the case exceeded its time");
        void finish(2);
    }, 115_000);
    const finish = async result => {
        clearTimeout(guard);
        await Promise.allSettled(ending.map(end => end()));
        await record.close();
        process.exit(result);
    };
    try {
        const store = await new Store().start();
        ending.push(() => store.close());
        const groups = [];
        const orders = await new Orders(record, (service, id) => groups.find(each => each.service === service)?.promote(id) ?? false).start();
        ending.push(() => orders.close());
        const addGroup = async (service, ids) => {
            const group = new Group(service, store, record);
            groups.push(group);
            ending.push(() => group.close());
            for (const id of ids) {
                await group.add(id);
            }
            return group;
        };
        const addProxy = async (node, options) => {
            const proxy = new Proxy(root, record, node);
            ending.push(() => proxy.stop());
            return proxy.start(store, orders, options);
        };
        code = await setUp({ record, store, orders, addGroup, addProxy, hasTrouble, ending }) ? 0 : 1;
        record.add(code === 0 ? "the rule held" : "the rule was broken");
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
        console.error(error);
    }
    await finish(code);
};
