import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { StorePoint } from "@pomeloturn/types/StoreRow";
import { connect, type Socket } from "node:net";
import { LineBuffer } from "./LineBuffer.ts";
import { formatMessage, parseReply, type RelayReply } from "./relayMessages.ts";

interface PendingRequest {
    readonly resolve: (reply: RelayReply) => void;
    readonly reject: (error: Error) => void;
}

const CONNECT_TIMEOUT_MS = 300;

/** Connection to the relay server of another VM. Calls reject with `StoreUnavailable` once it has failed. */
export class RelayClient {
    private readonly pending = new Map<number, PendingRequest>();
    private readonly lines = new LineBuffer();
    private lastId = 0;
    private hasFailed = false;

    private constructor(private readonly socket: Socket, private readonly replyMarginMs: number) {
        const connectTimer = setTimeout(() => this.fail("no connection in time"), CONNECT_TIMEOUT_MS);
        socket.setNoDelay(true);
        socket.on("connect", () => clearTimeout(connectTimer));
        socket.on("error", error => this.fail(error.message));
        socket.on("close", () => {
            clearTimeout(connectTimer);
            this.fail("connection closed");
        });
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
    }

    /**
     * @param address "host:port"
     * @param replyMarginMs time beyond the requested wait after which the relay counts as silent
     */
    static create(address: string, replyMarginMs: number): RelayClient {
        const colon = address.lastIndexOf(":");
        return new RelayClient(connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }), replyMarginMs);
    }

    /** Whether no further call can succeed. */
    get isClosed(): boolean {
        return this.hasFailed;
    }

    /** Reads a table, or its changes after a point. Waits up to `waitMs` for changes. */
    read(table: string, after: StorePoint | undefined, waitMs: number): Promise<RelayReply> {
        return new Promise((resolve, reject) => {
            if (this.hasFailed) {
                reject(PomeloturnError.create(ResultCode.StoreUnavailable, "the connection to the relay is closed"));
                return;
            }
            const id = ++this.lastId;
            const timer = setTimeout(() => this.fail("no answer in time"), waitMs + this.replyMarginMs);
            const finish = <Value>(settle: (value: Value) => void) => (value: Value): void => {
                clearTimeout(timer);
                settle(value);
            };
            this.pending.set(id, { resolve: finish(resolve), reject: finish(reject) });
            this.socket.write(formatMessage({ id, table, after: after?.version, era: after?.era, waitMs }));
        });
    }

    /** Closes the connection and rejects all outstanding calls. */
    fail(reason: string): void {
        if (!this.hasFailed) {
            this.hasFailed = true;
            this.socket.destroy();
            const error = PomeloturnError.create(ResultCode.StoreUnavailable, `the relay cannot be used: ${reason}`);
            this.pending.forEach(({ reject }) => reject(error));
            this.pending.clear();
        }
    }

    private receive(bytes: Buffer): void {
        const complete = this.lines.push(bytes);
        for (const line of complete ?? []) {
            const reply = parseReply(line);
            const request = reply === undefined ? undefined : this.pending.get(reply.id);
            if (reply === undefined || request === undefined) {
                this.fail("invalid reply");
                return;
            }
            this.pending.delete(reply.id);
            request.resolve(reply);
        }
        if (complete === undefined) {
            this.fail("line too long");
        }
    }
}
