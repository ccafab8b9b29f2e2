import type { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { SessionRunner } from "@pomeloturn/statement-runner/SessionRunner";
import type { CallerMessage } from "@pomeloturn/types/CallerMessage";
import type { CallerProtocol, Decoder } from "@pomeloturn/types/Protocols";
import type { Socket } from "node:net";

/** Number of waiting messages above which the session stops reading from its caller. */
const MAXIMUM_WAITING_MESSAGES = 64;

type MessageHandler = (message: CallerMessage) => Promise<void> | void;

/** Constants for `CallerSession.activity`. */
export const SessionActivity = {
    Idle: "idle",
    InTransaction: "inTransaction",
    Running: "running",
} as const;
export type SessionActivity = typeof SessionActivity[keyof typeof SessionActivity];

/** Connection of one caller. Decodes its messages and replies to them in order. */
export class CallerSession {
    private readonly decoder: Decoder<CallerMessage>;
    private readonly waitingMessages: CallerMessage[] = [];
    private runner: SessionRunner | undefined;
    private isBusy = false;
    private isEnded = false;

    private readonly handlers: Readonly<Record<CallerMessage["kind"], MessageHandler>> = {
        startup: message => this.start((message as Extract<CallerMessage, { kind: "startup"; }>).database),
        statement: message => this.answer(message as Extract<CallerMessage, { kind: "statement"; }>),
        terminate: () => this.end(),
        malformed: () => this.closeWithError(ResultCode.MalformedMessage, "the message is not a message of the protocol"),
    };

    private constructor(
        private readonly socket: Socket,
        private readonly protocol: CallerProtocol,
        private readonly ports: RunnerPorts,
        private readonly onClosed: (session: CallerSession) => void,
    ) {
        this.decoder = protocol.createDecoder();
    }

    static create(socket: Socket, protocol: CallerProtocol, ports: RunnerPorts, onClosed: (session: CallerSession) => void): CallerSession {
        const session = new CallerSession(socket, protocol, ports, onClosed);
        socket.setNoDelay(true);
        socket.on("data", chunk => session.receive(chunk));
        // The close event that follows ends the session.
        socket.on("error", () => socket.destroy());
        socket.on("end", () => session.end());
        socket.on("close", () => session.handleClose());
        return session;
    }

    get activity(): SessionActivity {
        if (this.isBusy || this.waitingMessages.length > 0) {
            return SessionActivity.Running;
        }
        return this.runner === undefined || this.runner.isIdle ? SessionActivity.Idle : SessionActivity.InTransaction;
    }

    /** When the open transaction began, in monotonic milliseconds; undefined when none is open. */
    get transactionBeganAtMs(): number | undefined {
        return this.runner?.transactionBeganAtMs;
    }

    /** Closes the connection after sending what has been written to it. */
    end(): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.socket.end();
            this.runner?.close();
        }
    }

    private receive(chunk: Buffer): void {
        if (this.isEnded) {
            return;
        }
        try {
            this.waitingMessages.push(...this.decoder.push(chunk));
        }
        catch (error) {
            this.closeWithError((error as PomeloturnError).code ?? ResultCode.MalformedMessage, (error as Error).message);
            return;
        }
        if (this.waitingMessages.length > MAXIMUM_WAITING_MESSAGES) {
            this.socket.pause();
        }
        if (!this.isBusy) {
            void this.processWaitingMessages();
        }
    }

    private async processWaitingMessages(): Promise<void> {
        this.isBusy = true;
        for (let message = this.waitingMessages.shift(); message !== undefined && !this.isEnded; message = this.waitingMessages.shift()) {
            try {
                await this.handlers[message.kind](message);
            }
            catch (error) {
                this.ports.onUnexpectedError(error as Error);
                this.closeWithError(ResultCode.OutcomeUnknown, "internal error in the proxy");
            }
        }
        this.isBusy = false;
        this.socket.resume();
    }

    private start(database: string): void {
        if (this.runner !== undefined) {
            this.closeWithError(ResultCode.MalformedStartup, "the session has already started");
        }
        else if (this.ports.directory.routes === undefined) {
            this.closeWithError(ResultCode.NoInstance, "the proxy has not received a configuration yet");
        }
        else if (this.ports.directory.findRoute(database) === undefined) {
            this.closeWithError(ResultCode.UnknownService, database);
        }
        else {
            this.runner = SessionRunner.create(database, this.ports);
            this.socket.write(this.protocol.encodeGreeting(), "latin1");
        }
    }

    private async answer({ statement }: Extract<CallerMessage, { kind: "statement"; }>): Promise<void> {
        if (this.runner === undefined) {
            this.closeWithError(ResultCode.MalformedStartup, "the first statement was sent before the start-up message");
            return;
        }
        const reply = await this.runner.run(statement);
        if (!this.isEnded) {
            this.socket.write(this.protocol.encodeReply(reply), "latin1");
        }
    }

    private closeWithError(code: ResultCode, detail: string): void {
        if (!this.isEnded) {
            this.socket.write(this.protocol.encodeFinalError(code, detail), "latin1");
            this.end();
        }
    }

    private handleClose(): void {
        this.isEnded = true;
        this.runner?.close();
        this.onClosed(this);
    }
}
