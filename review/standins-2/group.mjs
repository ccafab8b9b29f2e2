// Stand-in of a service of the users' platform: one primary and its replicas (PROTOCOL.md, "The wire" and "Instances").
import { createHash } from "node:crypto";
import { createServer } from "node:net";

const sleep = waitMs => new Promise(resolve => setTimeout(resolve, waitMs));
/** Copies a part of a line, which would otherwise keep the memory of the whole line. */
const detach = text => Buffer.from(text, "latin1").toString("latin1");
const macOf = (instance, id, text) => createHash("sha256").update(`${instance} ${id} ${text}`).digest("hex").slice(0, 24);

/** Service with its instances. The first one that is added is the primary of term 1. */
export class Group {
    instances = [];
    /** What arrived from callers: { atMs, instance, id, text }. */
    arrived = [];
    /** Promotions that took place: { atMs, id, term, log, before }. */
    promotions = [];

    /**
     * @param store stand-in of the store, where the instances register
     * @param options syncReplicas, maxConns, workMs, promoteMs, rowsOf(item) (rows of a READ), paceBytesPerMs (of large answers)
     */
    constructor(store, service, options = {}) {
        this.store = store;
        this.service = service;
        this.options = { syncReplicas: 0, maxConns: 200, workMs: 3, promoteMs: 600, beatMs: 1_200, ...options };
    }

    async add(id, zone, receiveMs = 2) {
        const instance = new Instance(this, id, zone, receiveMs, this.instances.length === 0);
        this.instances.push(instance);
        await instance.listen(0);
        instance.report();
        return instance;
    }

    get primary() {
        return this.instances.find(({ isPrimary, isDown }) => isPrimary && !isDown);
    }

    /** @returns false if the instance is not running */
    promote(id) {
        const next = this.instances.find(each => each.id === id);
        if (next === undefined || next.isDown) {
            return false;
        }
        if (!next.isPrimary) {
            setTimeout(() => this.#finishPromotion(next), this.options.promoteMs);
        }
        return true;
    }

    #finishPromotion(next) {
        if (next.isDown || next.isPrimary) {
            return;
        }
        const term = Math.max(...this.instances.map(each => each.term)) + 1;
        const before = Object.fromEntries(this.instances.map(each => [each.id, each.log.length]));
        for (const each of this.instances) {
            each.isPrimary = each === next;
            each.term = term;
            each.heldTerm = 0;
            each.log.length = Math.min(each.log.length, next.log.length);
        }
        this.promotions.push({ atMs: performance.now(), id: next.id, term, log: new Set(next.log.flat()), before });
        this.instances.forEach(each => each.report());
    }

    close() {
        this.instances.forEach(each => each.crash());
    }
}

class Instance {
    /** Ids of the writes of each commit that was received, in order. */
    log = [];
    term = 1;
    heldTerm = 0;
    isDown = false;
    isDraining = false;
    /** While true, its reports do not reach the store. */
    isSilent = false;
    /** While true, this replica receives nothing. */
    isDeaf = false;
    #sockets = new Set();
    #seq = 0;
    #born = Date.now();

    constructor(group, id, zone, receiveMs, isPrimary) {
        Object.assign(this, { group, id, zone, receiveMs, isPrimary });
        this.server = createServer(socket => this.#accept(socket));
        this.beat = setInterval(() => this.report(), group.options.beatMs);
    }

    async listen(port) {
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.port = this.server.address().port;
    }

    report() {
        if (!this.isDown && !this.isSilent) {
            this.group.store.put("servers", this.id, {
                service: this.group.service,
                address: `127.0.0.1:${this.port}`,
                zone: this.zone,
                version: "v1",
                slots: 2,
                state: this.isDraining ? "draining" : "ready",
                cold_remaining_ms: 0,
                db_role: this.isPrimary ? "primary" : "replica",
                born: this.#born,
                seq: ++this.#seq,
            });
        }
    }

    /** Ends without a report. Its entry is removed after three intervals of silence. */
    crash() {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        clearInterval(this.beat);
        this.server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => this.group.store.put("servers", this.id, undefined), 3 * this.group.options.beatMs).unref();
    }

    get position() {
        return `${this.term}.${this.log.length}`;
    }

    #accept(socket) {
        const connection = { state: "I", writes: [], isStarted: false, names: new Map() };
        let received = "";
        let previous = Promise.resolve();
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            const lines = (received + chunk.toString("latin1")).split("\r\n");
            received = lines.pop();
            for (const line of lines) {
                previous = previous.then(() => this.#answerLine(line, connection, socket));
            }
        });
    }

    async #answerLine(line, connection, socket) {
        const [word, id = "", ...fields] = line.split(" ");
        if (word === "STARTUP") {
            this.#start(id, fields, connection, socket);
            return;
        }
        if (word !== "QUERY" || !connection.isStarted) {
            socket.end();
            return;
        }
        const isAfter = fields[0] === "AFTER";
        const command = fields.slice(isAfter ? 2 : 0);
        if (id !== "-") {
            this.group.arrived.push({ atMs: performance.now(), instance: this.id, id: detach(id), text: detach(command.slice(0, 2).join(" ").slice(0, 60)) });
        }
        const answer = isAfter && this.#lacks(fields[1]) ? "ERROR LAGGING" : await this.#run(id, command, connection, socket);
        if (!this.isDown && !socket.destroyed) {
            socket.write(`${answer}\r\nREADY ${connection.state} ${this.position}\r\n`, "latin1");
        }
    }

    #start(service, [, expectedId = this.id], connection, socket) {
        const isFull = this.#sockets.size > this.group.options.maxConns;
        const error = service !== this.group.service || expectedId !== this.id ? "MISROUTED" : isFull ? "MAXCONN" : undefined;
        if (error !== undefined) {
            socket.end(`ERROR ${error} ${this.id}\r\n`);
            return;
        }
        connection.isStarted = true;
        socket.write(`READY I ${this.position}\r\n`);
    }

    #lacks(after) {
        const [term, number] = after.split(".").map(Number);
        return term > this.term || (term === this.term && number > this.log.length);
    }

    #fail(connection, word) {
        connection.state = connection.state === "I" ? "I" : "E";
        return `ERROR ${word} ${this.id}`;
    }

    async #run(id, command, connection, socket) {
        const handlers = {
            STATUS: () => this.#describe(),
            PAUSE: term => {
                if (!this.isPrimary && Number(term) > this.term) {
                    this.heldTerm = Number(term);
                }
                return this.#describe();
            },
            RESUME: () => {
                this.heldTerm = 0;
                return this.#describe();
            },
            STEPDOWN: term => {
                this.isPrimary &&= this.term >= Number(term);
                this.report();
                return this.#describe();
            },
            SET: () => "COMPLETE -",
            RESET: () => {
                connection.names.clear();
                return "COMPLETE -";
            },
            PREPARE: (name, kind) => {
                connection.names.set(createHash("sha256").update(name).digest("hex"), detach(kind));
                return "COMPLETE -";
            },
            CLOSE: () => "COMPLETE -",
            BEGIN: kind => {
                if (kind !== "READ" && !this.isPrimary) {
                    return this.#fail(connection, "READONLY");
                }
                connection.state = "T";
                connection.isPlain = kind !== "READ";
                return "COMPLETE -";
            },
            ROLLBACK: () => {
                connection.state = "I";
                connection.writes = [];
                return "COMPLETE -";
            },
            COMMIT: () => this.#commit(id, connection),
            READ: item => this.#read(id, item, connection, socket),
            WRITE: () => this.#write(id, connection),
            EXECUTE: (name, item) => {
                const kind = connection.names.get(createHash("sha256").update(name).digest("hex"));
                return kind === undefined
                    ? this.#fail(connection, "NOSTMT")
                    : kind === "WRITE"
                    ? this.#write(id, connection)
                    : this.#read(id, item, connection, socket);
            },
        };
        const handler = handlers[command[0]];
        return handler === undefined ? this.#fail(connection, "MALFORMED") : handler(...command.slice(1));
    }

    #describe() {
        const role = this.isPrimary ? "primary" : "replica";
        return `DATAROW ${role} ${this.term} ${this.position} ${this.heldTerm} 0 0 ${this.#sockets.size}\r\nCOMPLETE -`;
    }

    async #read(id, item, connection, socket) {
        const { workMs, rowsOf, paceBytesPerMs = Infinity } = this.group.options;
        await sleep(workMs);
        if (connection.state === "T" && connection.isPlain && !this.isPrimary) {
            return this.#fail(connection, "READONLY");
        }
        const startedAtMs = performance.now();
        let sentBytes = 0;
        for (const rows of rowsOf?.(item) ?? [["row"]]) {
            const text = rows.map(row => `DATAROW ${row}\r\n`).join("");
            sentBytes += text.length;
            if (socket.destroyed) {
                break;
            }
            if (!socket.write(text, "latin1")) {
                await new Promise(resolve => {
                    const finish = () => {
                        socket.off("drain", finish);
                        socket.off("close", finish);
                        resolve();
                    };
                    socket.on("drain", finish);
                    socket.on("close", finish);
                });
            }
            const aheadMs = sentBytes / paceBytesPerMs - (performance.now() - startedAtMs);
            if (aheadMs > 1) {
                await sleep(aheadMs);
            }
        }
        return `COMPLETE ${macOf(this.id, id, item)}`;
    }

    async #write(id, connection) {
        await sleep(this.group.options.workMs);
        if (!this.isPrimary) {
            return this.#fail(connection, "READONLY");
        }
        connection.writes.push(id);
        return connection.state === "I" ? this.#commit(id, connection) : `COMPLETE ${macOf(this.id, id, "write")}`;
    }

    async #commit(id, connection) {
        const writes = connection.writes;
        connection.writes = [];
        connection.state = "I";
        if (writes.length === 0) {
            return `COMPLETE ${macOf(this.id, id, "commit")}`;
        }
        if (!this.isPrimary) {
            return `ERROR READONLY ${this.id}`;
        }
        this.log.push(writes);
        const { log, term } = this;
        const number = log.length;
        const replicas = this.group.instances.filter(each => each !== this);
        const received = replicas.map(each => each.#receive(this, term, number, writes));
        const needed = this.group.options.syncReplicas;
        const isReceived = needed === 0 || await Promise.any(received.map(async each => await each || Promise.reject(new Error("not received")))).catch(() => false);
        return isReceived && this.isPrimary && !this.isDown ? `COMPLETE ${macOf(this.id, id, "commit")}` : `ERROR TIMEOUT ${this.id}`;
    }

    /** Receives a commit of the primary over the network, in order. */
    async #receive(primary, term, number, writes) {
        await sleep(this.receiveMs);
        if (this.isDown || this.isDeaf || this.heldTerm > this.term || this.term !== term || primary.term !== term) {
            return false;
        }
        this.log.push(...primary.log.slice(this.log.length, number));
        return this.log[number - 1] === writes;
    }
}
