import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import type { Socket } from "node:net";

const MAXIMUM_REQUEST_MESSAGE_BYTES = 64 * 1024 * 1024;

export interface CallerConnectionHandler {
    onMessages(messages: Buffer[]): void;
    /** Called when the caller has read what was buffered, after a `write` that returned false. */
    onDrained(): void;
    onClosed(): void;
}

/** A caller's socket after start-up. */
export class CallerConnection {
    private readonly framer = MessageFramer.create(MAXIMUM_REQUEST_MESSAGE_BYTES);
    private isClosed = false;

    private constructor(private readonly socket: Socket, private readonly handler: CallerConnectionHandler) {
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("drain", () => handler.onDrained());
        socket.on("error", () => this.reportClosed());
        socket.on("end", () => socket.end());
        socket.on("close", () => this.reportClosed());
    }

    static create(socket: Socket, handler: CallerConnectionHandler): CallerConnection {
        return new CallerConnection(socket, handler);
    }

    /** @returns false when the caller reads too slowly and the sender should pause */
    write(messages: readonly Uint8Array[]): boolean {
        if (this.isClosed) {
            return true;
        }
        this.socket.cork();
        const isBelowLimit = messages.map(message => this.socket.write(message)).every(Boolean);
        this.socket.uncork();
        return isBelowLimit;
    }

    /** Stops or resumes reading, so that a caller that pipelines without end is bounded. */
    setPaused(isPaused: boolean): void {
        if (isPaused) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
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
            this.refuse(error);
        }
    }

    /** The stream cannot be framed any more: says why and closes. */
    private refuse(error: unknown): void {
        const isNumbered = error instanceof PomeloturnError;
        const code = isNumbered ? error.code : ResultCode.MalformedMessage;
        this.socket.removeAllListeners("data");
        this.socket.resume();
        this.socket.end(buildErrorResponse(code, isNumbered ? error.detail : "", Severity.Fatal));
        this.reportClosed();
    }

    private reportClosed(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.handler.onClosed();
        }
    }
}
