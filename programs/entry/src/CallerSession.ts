import type { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { SessionRunner } from "@pomeloturn/statement-runner/SessionRunner";
import type { CallerMessage } from "@pomeloturn/types/CallerMessage";
import type { CallerProtocol, Decoder } from "@pomeloturn/types/Protocols";
import type { Socket } from "node:net";

/** Messages of one caller that may wait for the one before. */
const WAITING_LIMIT = 64;

type MessageHandler = (message: CallerMessage) => Promise<void> | void;

/** Constants for what a session is doing. */
export const SessionActivity = {
    Idle: "idle",
    InTransaction: "inTransaction",
    Running: "running",
} as const;
export type SessionActivity = typeof SessionActivity[keyof typeof SessionActivity];

/** One caller's connection: decodes its messages and answers them in order. */
export class CallerSession {
    private readonly decoder: Decoder<CallerMessage>;
    private readonly waiting: CallerMessage[] = [];
    private runner: SessionRunner | undefined;
    private isBusy = false;
    private isEnded = false;

    private readonly handlers: Readonly<Record<CallerMessage["kind"], MessageHandler>> = {
        startup: message => this.start((message as Extract<CallerMessage, { kind: "startup"; }>).database),
        statement: message => this.answer(message as Extract<CallerMessage, { kind: "statement"; }>),
        terminate: () => this.end(),
        malformed: () => this.refuse(ResultCode.MalformedMessage, "unknown message"),
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
        // The close that follows says all that matters: the caller has gone.
        socket.on("error", () => socket.destroy());
        socket.on("end", () => session.end());
        socket.on("close", () => session.finish());
        return session;
    }

    get activity(): SessionActivity {
        if (this.isBusy || this.waiting.length > 0) {
            return SessionActivity.Running;
        }
        return this.runner === undefined || this.runner.isIdle ? SessionActivity.Idle : SessionActivity.InTransaction;
    }

    /** Closes the connection after what was written. */
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
            this.waiting.push(...this.decoder.push(chunk));
        }
        catch (error) {
            this.refuse((error as PomeloturnError).code ?? ResultCode.MalformedMessage, (error as Error).message);
            return;
        }
        if (this.waiting.length > WAITING_LIMIT) {
            this.socket.pause();
        }
        if (!this.isBusy) {
            void this.drainWaiting();
        }
    }

    private async drainWaiting(): Promise<void> {
        this.isBusy = true;
        for (let message = this.waiting.shift(); message !== undefined && !this.isEnded; message = this.waiting.shift()) {
            try {
                await this.handlers[message.kind](message);
            }
            catch (error) {
                this.ports.onUnexpectedError(error as Error);
                this.refuse(ResultCode.OutcomeUnknown, "internal error");
            }
        }
        this.isBusy = false;
        this.socket.resume();
    }

    private start(database: string): void {
        if (this.runner !== undefined) {
            this.refuse(ResultCode.MalformedStartup, "the session has started");
        }
        else if (this.ports.directory.routes === undefined) {
            this.refuse(ResultCode.NoInstance, "no configuration yet");
        }
        else if (this.ports.directory.findRoute(database) === undefined) {
            this.refuse(ResultCode.UnknownService, database);
        }
        else {
            this.runner = SessionRunner.create(database, this.ports);
            this.socket.write(this.protocol.encodeGreeting(), "latin1");
        }
    }

    private async answer({ statement }: Extract<CallerMessage, { kind: "statement"; }>): Promise<void> {
        if (this.runner === undefined) {
            this.refuse(ResultCode.MalformedStartup, "no startup before the first statement");
            return;
        }
        const reply = await this.runner.run(statement);
        if (!this.isEnded) {
            this.socket.write(this.protocol.encodeReply(reply), "latin1");
        }
    }

    private refuse(code: ResultCode, detail: string): void {
        if (!this.isEnded) {
            this.socket.write(this.protocol.encodeFinalError(code, detail), "latin1");
            this.end();
        }
    }

    private finish(): void {
        this.isEnded = true;
        this.runner?.close();
        this.onClosed(this);
    }
}
