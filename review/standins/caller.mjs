import { connect } from "node:net";
import { HOST } from "./ports.mjs";

/** Client of the wire protocol: one connection, one request at a time. */
export class Caller {
    #socket;
    #text = "";
    #rows = [];
    #proof;
    #error;
    #pending;
    #isOpen = false;
    isBroken = false;

    /** Opens a connection and sends STARTUP. Resolves with the caller once READY has arrived, or with undefined. */
    static open(port, database, limitMs = 2_000) {
        return new Promise(resolve => {
            const caller = new Caller();
            caller.#socket = connect({ host: HOST, port, noDelay: true });
            const timer = setTimeout(() => caller.close(), limitMs);
            caller.#pending = reply => {
                clearTimeout(timer);
                resolve(reply.isBroken || reply.error !== undefined ? undefined : caller);
            };
            caller.#socket.on("data", chunk => caller.#receive(chunk));
            caller.#socket.on("error", () => caller.#break());
            caller.#socket.on("end", () => caller.close());
            caller.#socket.on("close", () => caller.#break());
            caller.#socket.write(`STARTUP ${database}\r\n`);
        });
    }

    /** Sends a statement. @returns the rows, the MAC or the error, and the state; `isBroken` if the connection ended before */
    run(id, text) {
        if (this.isBroken) {
            return Promise.resolve({ isBroken: true });
        }
        return new Promise(resolve => {
            this.#pending = resolve;
            this.#socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
        });
    }

    close() {
        this.#socket.destroy();
        this.#break();
    }

    #break() {
        this.isBroken = true;
        this.#settle({ isBroken: true });
    }

    #settle(reply) {
        const pending = this.#pending;
        this.#pending = undefined;
        pending?.(reply);
    }

    #receive(chunk) {
        this.#text += chunk.toString("latin1");
        const lines = this.#text.split("\r\n");
        this.#text = lines.pop();
        lines.forEach(line => this.#take(line));
    }

    #take(line) {
        const [word, ...fields] = line.split(" ");
        const rest = fields.join(" ");
        if (word === "DATAROW") {
            this.#rows.push(rest);
        }
        else if (word === "COMPLETE") {
            this.#proof = rest;
        }
        else if (word === "ERROR") {
            this.#error = rest;
        }
        if (word === "READY" || (word === "ERROR" && !this.#isOpen)) {
            this.#isOpen = true;
            const reply = { isBroken: false, rows: this.#rows, proof: this.#proof, error: this.#error, state: fields[0] };
            [this.#rows, this.#proof, this.#error] = [[], undefined, undefined];
            this.#settle(reply);
        }
    }
}
