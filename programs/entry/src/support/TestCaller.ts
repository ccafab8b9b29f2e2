import { TEST_DATABASE } from "@pomeloturn/statement-runner/support/createTestPorts";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const HOST = "127.0.0.1";

/** A raw connection of a caller. */
export class TestCaller {
    received = "";
    isClosed = false;
    private readonly socket: Socket;

    /** @param port port of the listener on the loopback address */
    constructor(port: number) {
        this.socket = connect({ host: HOST, port, noDelay: true, allowHalfOpen: true });
        this.socket.on("data", chunk => {
            this.received += chunk.toString("latin1");
        });
        this.socket.on("error", () => undefined);
        this.socket.on("end", () => this.close());
        this.socket.on("close", () => {
            this.isClosed = true;
        });
    }

    /** Number of complete replies, the one to the start-up message included. */
    get replyCount(): number {
        return this.received.match(/READY .*\r\n/g)?.length ?? 0;
    }

    send(text: string): void {
        this.socket.write(text);
    }

    sendAndEnd(text: string): void {
        this.socket.end(text);
    }

    stopReading(): void {
        this.socket.pause();
    }

    startReading(): void {
        this.socket.resume();
    }

    close(): void {
        this.isClosed = true;
        this.socket.destroy();
    }

    /** @returns the reply to a request, or undefined if the connection ended before */
    async request(text: string): Promise<string | undefined> {
        const start = this.received.length;
        this.send(text);
        for (;;) {
            const reply = /^[^]*READY .*\r\n/.exec(this.received.slice(start));
            if (reply !== null || this.isClosed) {
                return reply?.[0];
            }
            await delay(1);
        }
    }

    async start(): Promise<this> {
        await this.request(`STARTUP ${TEST_DATABASE}\r\n`);
        return this;
    }
}
