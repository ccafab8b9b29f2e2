import type { TableWrite } from "@pomeloturn/types/Platform";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { PlatformState } from "./PlatformState.ts";

type Handler = (body: string, url: URL) => unknown;

const VM_HEADER = "x-vm";

const readBody = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
};

/** Serves the simulated platform over HTTP with JSON bodies, and `POST /faults`, which sets faults. */
export class PlatformServer {
    private readonly server: Server;
    private readonly handlers: Readonly<Record<string, Handler>>;

    /** @param applyFault handles the parsed body of `POST /faults` */
    private constructor(private readonly state: PlatformState, applyFault: (fault: unknown) => unknown) {
        this.server = createServer((request, response) => {
            void this.handle(request, response);
        });
        this.handlers = {
            "POST /table/read": body => state.read((JSON.parse(body) as { keys: string[]; }).keys),
            "POST /table/transact": body => {
                const { operationId, writes } = JSON.parse(body) as { operationId: string; writes: TableWrite[]; };
                return state.transact(operationId, writes);
            },
            "PUT /objects": (body, url) => {
                state.putObject(url.searchParams.get("name") ?? "", body);
                return {};
            },
            "GET /objects": (_body, url) => ({ body: state.getObject(url.searchParams.get("name") ?? "") }),
            "GET /vms": () => state.vms,
            "POST /faults": body => applyFault(JSON.parse(body)),
        };
    }

    static create(state: PlatformState, applyFault: (fault: unknown) => unknown): PlatformServer {
        return new PlatformServer(state, applyFault);
    }

    listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve());
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://platform");
        const name = `${request.method ?? ""} ${url.pathname}`;
        const body = await readBody(request);
        const handler = this.handlers[name];
        if (handler === undefined) {
            response.writeHead(404).end();
            return;
        }
        const isFaultRequest = name === "POST /faults";
        if (!isFaultRequest && this.isUnreachable(request)) {
            // Sends no response, so that the request times out at the client.
            return;
        }
        const result = JSON.stringify(handler(body, url));
        if (!isFaultRequest && (await this.isResponseLost(name))) {
            return;
        }
        response.writeHead(200, { "content-type": "application/json" }).end(result);
    }

    private isUnreachable(request: IncomingMessage): boolean {
        const vm = String(request.headers[VM_HEADER] ?? "");
        return this.state.faults.isDown || this.state.faults.cutVms.includes(vm);
    }

    /** Simulates the delay and the loss of a response. @returns whether the response is lost */
    private async isResponseLost(name: string): Promise<boolean> {
        const { faults } = this.state;
        if (name === "POST /table/transact" && faults.lostAnswers > 0) {
            faults.lostAnswers--;
            return true;
        }
        if (faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        return false;
    }
}
