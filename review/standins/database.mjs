import { randomBytes } from "node:crypto";
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import { findPorts, HOST, sleep } from "./ports.mjs";

const OPEN_MS = 12;
const QUEUE_LENGTH = 16;
const LINE_LIMIT_BYTES = 1_048_576;
/** Silence after which the entry of an instance is removed: three report intervals. */
const ENTRY_EXPIRY_MS = 3_600;

/** Times of a database group, in milliseconds. */
const DEFAULT_TIMES = {
    /** Work of a read, write or commit. */
    workMs: 5,
    /** Time until a replica has received a commit. */
    receiveMs: 2,
    /** Time from receiving to applying a commit. */
    applyMs: 18,
    promoteMs: 300,
};

/** A database group as PROTOCOL.md says: one primary and its replicas, whose logs it feeds. */
export class DatabaseGroup {
    instances = [];
    term = 3;
    /** Called as (instance, id, text) when a statement has arrived at an instance. */
    onArrived = () => {};
    /** Called as (instance, session, id, text, prepared) when an instance runs a statement. */
    onRun = () => {};
    /** Called as (instance, entry) when a commit is acknowledged. */
    onAcknowledged = () => {};
    /** Called as (instance) when an instance begins to lead a term, before anything is added to its log. */
    onPromoted = () => {};

    constructor(service, store, record, { syncReplicas = 0, slots = 2, connectionLimit = 16, ...times } = {}) {
        Object.assign(this, { service, store, record, syncReplicas, slots, connectionLimit, times: { ...DEFAULT_TIMES, ...times } });
    }

    /** Adds an instance and starts it. The first one is the primary. */
    async addInstance(id, zone) {
        const instance = new Instance(this, id, zone, this.instances.length === 0);
        this.instances.push(instance);
        await instance.listen();
        instance.register();
        return instance;
    }

    get primary() {
        return this.instances.find(({ isPrimary }) => isPrimary);
    }

    find(id) {
        return this.instances.find(instance => instance.id === id);
    }

    /** Makes an instance the primary of the next term with what it has received. */
    async promote(id) {
        await sleep(this.times.promoteMs);
        const next = this.find(id);
        if (next.isPrimary || next.isDown) {
            return;
        }
        this.term++;
        for (const instance of this.instances.filter(each => each !== next)) {
            instance.isPrimary = false;
            const isAhead = instance.log.length > next.log.length;
            instance.log = instance.log.slice(0, next.log.length);
            instance.applied = Math.min(instance.applied, instance.log.length);
            instance.term = this.term;
            if (isAhead) {
                this.record.say(`${instance.id}: rolled back to ${instance.log.length} commits`);
            }
        }
        Object.assign(next, { isPrimary: true, term: this.term, applied: next.log.length });
        this.record.say(`${next.id}: leads term ${this.term} with ${next.log.length} commits`);
        this.onPromoted(next);
        this.instances.forEach(instance => instance.register());
        this.feedAll(next);
    }

    /** Sends each replica what it lacks. */
    feedAll(primary) {
        const newest = primary.log.at(-1);
        if (newest !== undefined) {
            this.instances.filter(each => each !== primary).forEach(replica => void replica.receive(newest, primary));
        }
    }

    stop() {
        this.instances.forEach(instance => instance.stop());
    }
}

/** One instance. */
class Instance {
    log = [];
    applied = 0;
    isDraining = false;
    isDown = false;
    /** While true, commits that are sent to this replica are held up. */
    isDeaf = false;
    sessions = new Set();
    #busy = 0;
    #queue = [];
    #seq = 0;

    constructor(group, id, zone, isPrimary) {
        Object.assign(this, { group, id, zone, isPrimary, term: group.term, receiveMs: group.times.receiveMs });
        this.startedAt = Date.now();
    }

    async listen() {
        [this.port, this.healthPort] = await findPorts(2);
        this.server = createServer(socket => new Session(this, socket));
        this.health = createHttpServer((_request, response) => {
            response.writeHead(this.isDraining ? 503 : 200, { "Pomeloturn-Instance-Id": this.id });
            response.end();
        });
        await new Promise(resolve => this.server.listen(this.port, HOST, resolve));
    }

    /** Writes this instance's entry into the store. */
    register() {
        if (!this.isDown) {
            this.group.store.write("servers", this.id, {
                service: this.group.service,
                address: `${HOST}:${this.port}`,
                zone: this.zone,
                version: "v1",
                slots: this.group.slots,
                state: this.isDraining ? "draining" : "ready",
                cold_remaining_ms: 0,
                db_role: this.isPrimary ? "primary" : "replica",
                born: this.startedAt,
                seq: ++this.#seq,
            });
        }
    }

    get position() {
        return `${this.term}.${this.applied}`;
    }

    drain() {
        this.isDraining = true;
        this.register();
        this.group.record.say(`${this.id}: reports that it is draining; the store has accepted that`);
    }

    /** Crashes: the port refuses, open connections are reset. The log stays. */
    crash() {
        this.isDown = true;
        this.isPrimary = false;
        this.server.close();
        this.sessions.forEach(session => session.reset());
        setTimeout(() => this.isDown && this.group.store.delete("servers", this.id), ENTRY_EXPIRY_MS).unref();
        this.group.record.say(`${this.id}: crashes with ${this.log.length} commits in its log`);
    }

    /** Ends after a planned shutdown. Its entry is removed. */
    leave() {
        this.isDown = true;
        this.server.close();
        this.sessions.forEach(session => session.reset());
        this.group.store.delete("servers", this.id);
        this.group.record.say(`${this.id}: has left`);
    }

    stop() {
        this.isDown = true;
        this.server.close();
        this.health.close();
        this.sessions.forEach(session => session.reset());
    }

    /** Takes a slot, waiting for one. @returns false if the queue is full */
    async takeSlot() {
        if (this.#busy < this.group.slots) {
            this.#busy++;
            return true;
        }
        if (this.#queue.length >= QUEUE_LENGTH) {
            return false;
        }
        await new Promise(resolve => this.#queue.push(resolve));
        return true;
    }

    freeSlot() {
        const next = this.#queue.shift();
        if (next === undefined) {
            this.#busy--;
        }
        else {
            next();
        }
    }

    get busyCount() {
        return this.#busy;
    }

    /** Receives a commit of the primary, and what it lacks before it, and applies both later. @returns whether it has received it */
    async receive(entry, primary) {
        await sleep(this.receiveMs);
        if (this.isDeaf || this.isDown || primary.log[entry.number - 1] !== entry) {
            return false;
        }
        const missing = primary.log.slice(this.log.length, entry.number);
        this.log.push(...missing);
        setTimeout(() => {
            if (this.log[entry.number - 1] === entry) {
                this.applied = Math.max(this.applied, entry.number);
            }
        }, this.group.times.applyMs);
        return true;
    }

    /** Commits writes at the primary. @returns whether they are committed; waits for the replicas that have to receive them */
    async commit(writes, session) {
        const entry = { number: this.log.length + 1, term: this.term, writes };
        this.log.push(entry);
        this.applied = this.log.length;
        const replicas = this.group.instances.filter(each => each !== this && !each.isDown);
        const received = replicas.map(replica => replica.receive(entry, this));
        if (this.group.syncReplicas > 0) {
            const first = Promise.any(received.map(each => each.then(isReceived => isReceived || Promise.reject(new Error("not received")))));
            if (!await first.then(() => true, () => false) || this.isDown) {
                return undefined;
            }
        }
        this.group.onAcknowledged(this, entry, session);
        return entry;
    }

    readItem(item) {
        const entry = this.log.slice(0, this.applied).findLast(({ writes }) => writes.some(write => write.item === item));
        return entry?.writes.findLast(write => write.item === item).data;
    }
}

/** One connection to an instance. */
class Session {
    values = new Map();
    prepared = new Map();
    transaction;
    #state = "I";
    #text = "";
    #waiting = [];
    #isRunning = false;
    #isStarted = false;

    constructor(instance, socket) {
        Object.assign(this, { instance, socket, number: instance.group.sessionCount = (instance.group.sessionCount ?? 0) + 1 });
        instance.sessions.add(this);
        socket.setNoDelay(true);
        socket.on("data", chunk => this.#receive(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            this.transaction = undefined;
            instance.sessions.delete(this);
        });
    }

    reset() {
        this.socket.resetAndDestroy();
    }

    #receive(chunk) {
        this.#text += chunk.toString("latin1");
        const lines = this.#text.split("\r\n");
        this.#text = lines.pop();
        if (lines.some(line => line.length > LINE_LIMIT_BYTES)) {
            this.socket.destroy();
            return;
        }
        this.#waiting.push(...lines);
        if (!this.#isRunning) {
            void this.#runWaiting();
        }
    }

    async #runWaiting() {
        this.#isRunning = true;
        for (let line = this.#waiting.shift(); line !== undefined && !this.socket.destroyed; line = this.#waiting.shift()) {
            await (this.#isStarted ? this.#answer(line) : this.#start(line));
        }
        this.#isRunning = false;
    }

    async #start(line) {
        const { group, id, sessions } = this.instance;
        const [word, service, , expectedId] = line.split(" ");
        if (word !== "STARTUP" || service !== group.service || (expectedId ?? id) !== id) {
            this.socket.end("ERROR MISROUTED\r\n");
            return;
        }
        if (sessions.size > group.connectionLimit) {
            this.socket.end("ERROR MAXCONN\r\n");
            return;
        }
        await this.#work(OPEN_MS);
        this.#isStarted = true;
        this.#send(`READY I ${this.instance.position}\r\n`);
    }

    /** Occupies a slot for the time. @returns false if no slot could be had */
    async #work(workMs) {
        if (!await this.instance.takeSlot()) {
            return false;
        }
        await sleep(workMs);
        this.instance.freeSlot();
        return true;
    }

    #send(text) {
        if (!this.socket.destroyed && !this.instance.isDown) {
            this.socket.write(text, "latin1");
        }
    }

    #reply({ rows = [], proof = "-", error }) {
        const body = error === undefined ? `${rows.map(row => `DATAROW ${row}\r\n`).join("")}COMPLETE ${proof}\r\n` : `ERROR ${error}\r\n`;
        this.#send(`${body}READY ${this.#state} ${this.instance.position}\r\n`);
    }

    async #answer(line) {
        const [, id, rest] = /^QUERY (\S+) (.*)$/.exec(line) ?? [];
        const [, after, text] = /^(?:AFTER (\S+) )?(.*)$/.exec(rest ?? "") ?? [];
        const [word, ...fields] = (text ?? "").split(" ");
        const handler = HANDLERS[word];
        this.instance.group.onArrived(this.instance, id, text);
        this.#reply(handler === undefined || !this.#isAllowed(word) ? { error: "MALFORMED" } : await handler.call(this, { id, after, text, word, fields }));
    }

    #isAllowed(word) {
        return this.#state !== "E" || word === "ROLLBACK" || word === "COMMIT";
    }

    /** Ends the open transaction as failed, if there is one. */
    #fail(error) {
        this.#state = this.transaction === undefined ? "I" : "E";
        return { error };
    }

    #lacks(after) {
        const [term, number] = (after ?? "0.0").split(".").map(Number);
        const { instance } = this;
        return term > instance.term || (term === instance.term && number > instance.applied);
    }

    /** Whether a plain transaction is open at an instance that has lost the lead since. */
    #hasLostLead() {
        const { transaction, instance } = this;
        return transaction !== undefined && !transaction.isReadOnly && (!instance.isPrimary || instance.term !== transaction.term);
    }

    begin({ after, fields }) {
        const isReadOnly = fields[0] === "READ";
        const { instance } = this;
        if (!isReadOnly && !instance.isPrimary) {
            return this.#fail("READONLY");
        }
        if (this.#lacks(after)) {
            return this.#fail("LAGGING");
        }
        this.transaction = { isReadOnly, term: instance.term, writes: [] };
        this.#state = "T";
        return {};
    }

    async commit({ id, text }) {
        const { transaction, instance } = this;
        if (this.#state === "E" || transaction === undefined) {
            this.#end();
            return { error: "ABORTED" };
        }
        if (transaction.writes.length > 0 && this.#hasLostLead()) {
            return this.#fail("READONLY");
        }
        if (!await this.#work(instance.group.times.workMs)) {
            return { error: "BUSY" };
        }
        if (this.transaction === undefined || (transaction.writes.length > 0 && this.#hasLostLead())) {
            return this.#fail("READONLY");
        }
        instance.group.onRun(instance, this, id, text);
        const isCommitted = transaction.writes.length === 0 || await instance.commit(transaction.writes, this) !== undefined;
        this.#end();
        return isCommitted ? { proof: prove() } : { error: "TIMEOUT" };
    }

    rollback() {
        this.#end();
        return {};
    }

    #end() {
        this.transaction = undefined;
        this.#state = "I";
    }

    read(statement) {
        return this.#runStatement(statement, "READ", statement.fields[0], undefined, undefined);
    }

    write(statement) {
        const [item, ...data] = statement.fields;
        return this.#runStatement(statement, "WRITE", item, data.join(" "), undefined);
    }

    execute(statement) {
        const [name, item, ...data] = statement.fields;
        const prepared = this.prepared.get(name);
        return prepared === undefined
            ? this.#fail("NOSTMT")
            : this.#runStatement(statement, prepared.kind, item, data.join(" "), prepared.shape);
    }

    async #runStatement({ id, after, text }, kind, item, data, shape) {
        const { instance } = this;
        if (this.#hasLostLead() || (kind === "WRITE" && (!instance.isPrimary || this.transaction?.isReadOnly === true))) {
            return this.#fail("READONLY");
        }
        if (this.#lacks(after)) {
            return this.#fail("LAGGING");
        }
        if (!await this.#work(instance.group.times.workMs)) {
            return { error: "BUSY" };
        }
        if (this.socket.destroyed || instance.isDown) {
            return {};
        }
        instance.group.onRun(instance, this, id, text, { kind, shape });
        if (kind === "READ") {
            return { rows: [`${item} ${instance.readItem(item) ?? "none"}${shape === undefined ? "" : ` by ${shape}`}`], proof: prove() };
        }
        if (this.transaction !== undefined) {
            this.transaction.writes.push({ id, item, data });
            return { proof: prove() };
        }
        if (!instance.isPrimary) {
            return this.#fail("READONLY");
        }
        return await instance.commit([{ id, item, data }], this) === undefined ? { error: "TIMEOUT" } : { proof: prove() };
    }

    set({ fields }) {
        this.values.set(fields[0], fields.slice(1).join(" "));
        return {};
    }

    prepare({ fields }) {
        const [name, kind, ...shape] = fields;
        this.prepared.set(name, { kind, shape: shape.join(" ") });
        return {};
    }

    closePrepared({ fields }) {
        this.prepared.delete(fields[0]);
        return {};
    }

    resetState() {
        this.values.clear();
        this.prepared.clear();
        return {};
    }

    async status() {
        const { instance } = this;
        if (!await this.#work(1)) {
            return { error: "BUSY" };
        }
        const role = instance.isPrimary ? "primary" : "replica";
        const received = `${instance.term}.${instance.log.length}`;
        return { rows: [`${role} ${instance.term} ${received} ${instance.term} 0 ${instance.busyCount} ${instance.sessions.size}`] };
    }

    /** Makes a primary of a lower term a replica. */
    async stepDown({ fields }) {
        const { instance } = this;
        if (instance.isPrimary && instance.term < Number(fields[0])) {
            instance.isPrimary = false;
            instance.register();
            instance.group.record.say(`${instance.id}: stepped down`);
        }
        return this.status();
    }
}

const prove = () => `${randomBytes(3).toString("hex")}.${randomBytes(8).toString("hex")}`;

const HANDLERS = {
    BEGIN: Session.prototype.begin,
    COMMIT: Session.prototype.commit,
    ROLLBACK: Session.prototype.rollback,
    READ: Session.prototype.read,
    WRITE: Session.prototype.write,
    EXECUTE: Session.prototype.execute,
    SET: Session.prototype.set,
    PREPARE: Session.prototype.prepare,
    CLOSE: Session.prototype.closePrepared,
    RESET: Session.prototype.resetState,
    STATUS: Session.prototype.status,
    STEPDOWN: Session.prototype.stepDown,
};
