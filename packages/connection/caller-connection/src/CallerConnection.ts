import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import type { Socket } from "node:net";

const MAXIMUM_REQUEST_MESSAGE_BYTES = 64 * 1024 * 1024;

export interface CallerConnectionHandler {
    onMessages(messages: Buffer[]): void;
    /** Called when the send buffer has emptied after a `write` that returned false. */
    onDrained(): void;
    onClosed(): void;
}

/** Connection to a caller after start-up: frames received messages and reports backpressure. */
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

    /** Sends messages. @returns false if the send buffer is full and the sender should pause until `onDrained` */
    write(messages: readonly Uint8Array[]): boolean {
        if (this.isClosed) {
            return true;
        }
        this.socket.cork();
        const hasBufferSpace = messages.map(message => this.socket.write(message)).every(Boolean);
        this.socket.uncork();
        return hasBufferSpace;
    }

    /** Stops or resumes reading, which bounds the requests that a caller can pipeline. */
    setPaused(isPaused: boolean): void {
        if (isPaused) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
    }

    /** Closes the connection after the buffered data has been sent. */
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
            this.rejectStream(error);
        }
    }

    /** Sends an error and closes the connection, as no further messages can be framed. */
    private rejectStream(error: unknown): void {
        const hasResultCode = error instanceof PomeloturnError;
        const code = hasResultCode ? error.code : ResultCode.MalformedMessage;
        this.socket.removeAllListeners("data");
        this.socket.resume();
        this.socket.end(buildErrorResponse(code, hasResultCode ? error.detail : "", Severity.Fatal));
        this.reportClosed();
    }

    private reportClosed(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.handler.onClosed();
        }
    }
}
