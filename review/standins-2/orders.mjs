// Stand-in of the platform's interface for orders: POST /promote (PROTOCOL.md, "Singleton duties"), where fences are checked.
import { createServer } from "node:http";

export class Orders {
    orders = [];
    #newest = new Map();
    #server;

    /** @param promote called with the service and the instance; returns false if the instance is not running */
    static async start(port, promote) {
        const orders = new Orders();
        orders.#server = createServer((request, response) => {
            let body = "";
            request.on("data", chunk => body += chunk);
            request.on("end", () => {
                const { service, id } = JSON.parse(body);
                const fence = Number(request.headers["pomeloturn-fencing-token"]);
                const holder = String(request.headers["pomeloturn-lease-holder"]);
                const isRefused = fence < (orders.#newest.get(service) ?? 0);
                if (!isRefused) {
                    orders.#newest.set(service, fence);
                }
                const status = isRefused || !promote(service, id) ? 409 : 200;
                orders.orders.push({ atMs: performance.now(), service, id, holder, fence, status });
                response.writeHead(status);
                response.end();
            });
        });
        await new Promise(resolve => orders.#server.listen(port, "127.0.0.1", resolve));
        return orders;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }
}
