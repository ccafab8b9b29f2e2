import { connect, createServer } from "node:net";
import { HOST } from "./ports.mjs";

/** Passes TCP connections on to a port. It can make open connections silent for good, or cut all off for a time. */
export class Silencer {
    #links = new Set();
    #isCut = false;
    #server = createServer({ allowHalfOpen: true }, socket => this.#open(socket));

    constructor(targetPort) {
        this.targetPort = targetPort;
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, HOST, resolve));
    }

    get port() {
        return this.#server.address().port;
    }

    /** Makes the open connections silent for good whose newest request matches the pattern; new ones work. @returns their number */
    silence(pattern) {
        const links = [...this.#links].filter(({ newest, isSilent }) => !isSilent && pattern.test(newest));
        links.forEach(link => {
            link.isSilent = true;
        });
        return links.length;
    }

    /** Cuts the path without a reset: what is sent on open and new connections is held up until `heal`. */
    cut() {
        this.#isCut = true;
    }

    heal() {
        this.#isCut = false;
        this.#links.forEach(link => link.held.splice(0).forEach(deliver => deliver()));
    }

    stop() {
        this.#server.close();
        this.#links.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
    }

    #open(near) {
        const far = connect({ host: HOST, port: this.targetPort, noDelay: true });
        const link = { near, far, newest: "", isSilent: false, held: [] };
        this.#links.add(link);
        near.setNoDelay(true);
        near.on("data", chunk => {
            link.newest = chunk.toString("latin1");
            this.#pass(link, () => far.write(chunk));
        });
        far.on("data", chunk => this.#pass(link, () => near.write(chunk)));
        const end = () => this.#pass(link, () => {
            near.destroy();
            far.destroy();
            this.#links.delete(link);
        });
        for (const socket of [near, far]) {
            socket.on("error", end);
            socket.on("end", end);
            socket.on("close", end);
        }
    }

    #pass(link, deliver) {
        if (this.#isCut) {
            link.held.push(deliver);
        }
        else if (!link.isSilent) {
            deliver();
        }
    }
}
