import { createServer } from "node:http";
import { HOST } from "./ports.mjs";

/** Stand-in of the platform's interface for singleton duties: POST /promote. */
export class Orders {
    calls = [];
    #newestFence = new Map();
    #server = createServer((request, response) => void this.#handle(request, response));

    constructor(groups, areFencesChecked, record) {
        Object.assign(this, { groups, areFencesChecked, record });
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, HOST, resolve));
    }

    get port() {
        return this.#server.address().port;
    }

    stop() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    async #handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { service, id } = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const holder = request.headers["pomeloturn-lease-holder"];
        const fence = Number(request.headers["pomeloturn-fencing-token"]);
        const status = this.#order(service, id, fence);
        this.calls.push({ service, id, holder, fence, status });
        this.record.say(`orders: ${holder} orders the promotion of ${id} with fence ${fence}; answered with ${status}`);
        response.writeHead(status, { "Content-Type": "application/json" });
        response.end("{}");
    }

    #order(service, id, fence) {
        const group = this.groups.find(each => each.service === service);
        const newestFence = this.#newestFence.get(service) ?? 0;
        if (group === undefined || (this.areFencesChecked && fence < newestFence) || group.find(id)?.isDown !== false) {
            return 409;
        }
        this.#newestFence.set(service, Math.max(fence, newestFence));
        void group.promote(id);
        return 200;
    }
}
