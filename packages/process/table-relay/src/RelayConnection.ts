import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import type { Socket } from "node:net";
import { LineBuffer } from "./LineBuffer.ts";
import { readSource } from "./readSource.ts";
import { formatMessage, parseRequest, type RelayRequest } from "./relayMessages.ts";
import type { RelaySource } from "./RelayServer.ts";

const MAXIMUM_OUTSTANDING_REQUESTS = 16;
/** VMs ask every second. A connection without requests belongs to a VM that is gone. */
const IDLE_TIMEOUT_MS = 30_000;

/** Connection of a VM that reads tables here. */
export class RelayConnection {
    private readonly lines = new LineBuffer();
    private outstandingCount = 0;

    private constructor(
        private readonly socket: Socket,
        private readonly source: RelaySource,
        private readonly nowMs: () => number,
        private readonly logger: ProcessLogger,
    ) {
        socket.setNoDelay(true);
        socket.setTimeout(IDLE_TIMEOUT_MS, () => this.close(`no request within ${IDLE_TIMEOUT_MS} ms`));
        socket.on("error", error => logger.info("the connection of a VM that reads tables here was lost", { reason: error.message }));
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
    }

    static create(socket: Socket, source: RelaySource, nowMs: () => number, logger: ProcessLogger): RelayConnection {
        return new RelayConnection(socket, source, nowMs, logger);
    }

    private receive(bytes: Buffer): void {
        const complete = this.lines.push(bytes);
        if (complete === undefined) {
            this.close("a request is too long");
            return;
        }
        for (const line of complete) {
            const request = parseRequest(line);
            if (request === undefined || this.outstandingCount >= MAXIMUM_OUTSTANDING_REQUESTS) {
                this.close(request === undefined ? "a request cannot be read" : "too many outstanding requests");
                return;
            }
            void this.answer(request);
        }
    }

    private async answer(request: RelayRequest): Promise<void> {
        this.outstandingCount++;
        try {
            const reply = await readSource(request, this.source, this.nowMs);
            if (!this.socket.destroyed) {
                this.socket.write(formatMessage(reply));
            }
        }
        catch (error) {
            this.close(`unexpected error: ${(error as Error).stack ?? (error as Error).message}`);
        }
        this.outstandingCount--;
    }

    private close(reason: string): void {
        this.logger.warn("the connection of a VM that reads tables here is closed", { from: this.socket.remoteAddress, reason });
        this.socket.destroy();
    }
}
