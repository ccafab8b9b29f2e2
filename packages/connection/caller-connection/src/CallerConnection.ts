import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import type { Socket } from "node:net";

const MAXIMUM_REQUEST_MESSAGE_BYTES = 64 * 1024 * 1024;

export interface CallerConnectionHandler {
    onMessages(messages: Buffer[]): void;
    onClosed(): void;
}

/** A caller's socket after start-up. */
export class CallerConnection {
    private readonly framer = MessageFramer.create(MAXIMUM_REQUEST_MESSAGE_BYTES);
    private isClosed = false;

    private constructor(private readonly socket: Socket, private readonly handler: CallerConnectionHandler) {
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => this.reportClosed());
        socket.on("close", () => this.reportClosed());
    }

    static create(socket: Socket, handler: CallerConnectionHandler): CallerConnection {
        return new CallerConnection(socket, handler);
    }

    /** @returns false when the caller reads too slowly and the sender should pause */
    write(messages: readonly Uint8Array[]): boolean {
        this.socket.cork();
        const isBelowLimit = messages.map(message => this.socket.write(message)).every(Boolean);
        this.socket.uncork();
        return isBelowLimit;
    }

    /** Sends what is buffered, then closes. */
    end(): void {
        this.socket.end();
    }

    private receive(chunk: Buffer): void {
        try {
            const messages = this.framer.push(chunk);
            if (messages.length > 0) {
                this.handler.onMessages(messages);
            }
        }
        catch (error) {
            const code = error instanceof PomeloturnError ? error.code : ResultCode.MalformedMessage;
            this.socket.end(buildErrorResponse(code, "", Severity.Fatal));
            this.socket.removeAllListeners("data");
            this.reportClosed();
        }
    }

    private reportClosed(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.handler.onClosed();
        }
    }
}
