// Stand-in of a requester: one session of the line protocol (PROTOCOL.md, "Requesters").
import { connect } from "node:net";

export class Caller {
    #received = "";
    #pending;
    #rows = 0;
    #rowBytes = 0;
    #result;
    isClosed = false;

    /** @returns a started session, or undefined if it was refused or closed */
    static async open(port, database) {
        const caller = new Caller();
        const started = new Promise(resolve => caller.#pending = resolve);
        const socket = connect({ host: "127.0.0.1", port, noDelay: true });
        caller.socket = socket;
        socket.on("data", chunk => caller.#receive(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            caller.isClosed = true;
            caller.#finish({ word: "closed" });
        });
        socket.write(`STARTUP ${database} reviewer\r\n`);
        const { word } = await started;
        return word === "READY" ? caller : undefined;
    }

    /** Sends a statement. @returns word: COMPLETE, the word of an ERROR, or "closed"; state; rows; rowBytes; proof */
    query(id, text) {
        if (this.isClosed) {
            return Promise.resolve({ word: "closed", wasSent: false });
        }
        return new Promise(resolve => {
            this.#pending = resolve;
            this.socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
        });
    }

    close() {
        this.socket.destroy();
    }

    #receive(chunk) {
        const lines = (this.#received + chunk.toString("latin1")).split("\r\n");
        this.#received = lines.pop();
        for (const line of lines) {
            const [word, ...rest] = line.split(" ", 3);
            if (word === "DATAROW") {
                this.#rows++;
                this.#rowBytes += line.length;
            }
            else if (word === "COMPLETE") {
                this.#result = { word, proof: rest[0] };
            }
            else if (word === "ERROR") {
                this.#result = { word: rest[0], text: line };
            }
            else if (word === "READY") {
                this.#finish({ ...(this.#result ?? { word }), state: rest[0] });
            }
        }
    }

    #finish(result) {
        const resolve = this.#pending;
        this.#pending = undefined;
        const answer = { rows: this.#rows, rowBytes: this.#rowBytes, ...result };
        this.#result = undefined;
        this.#rows = 0;
        this.#rowBytes = 0;
        resolve?.(answer);
    }
}
