import { type DrainedStatement, StatementDecision } from "@pomeloturn/drain/decideStatement";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { SessionRunner } from "@pomeloturn/statement-runner/SessionRunner";
import type { CallerMessage, CallerReply } from "@pomeloturn/types/CallerMessage";
import type { CallerProtocol } from "@pomeloturn/types/Protocols";
import type { Socket } from "node:net";
import type { CallerGuard } from "./CallerGuard.ts";
import { CallerInput, type InputSession } from "./CallerInput.ts";

/** Time after the end of a session at which its connection is closed although its caller has not closed it. */
const LINGER_MS = 5_000;

/** Time after the removal of a key for which an open transaction of its caller may go on. */
const REMOVED_KEY_TRANSACTION_MS = 2_000;

/** Longest part of a caller's text that is repeated in an error. */
const MAXIMUM_DETAIL_CHARACTERS = 200;

/** Decides whether a statement is run while the process shuts down. */
export interface StatementGate {
    decide(statement: DrainedStatement): StatementDecision;
}

type MessageHandler = (message: CallerMessage) => Promise<void> | void;

/** Constants for `CallerSession.activity`. */
export const SessionActivity = {
    Idle: "idle",
    InTransaction: "inTransaction",
    Running: "running",
    /** Everything has been answered; the caller has not closed the connection yet. */
    Ended: "ended",
} as const;
export type SessionActivity = typeof SessionActivity[keyof typeof SessionActivity];

/** Connection of one caller. Decodes its messages and replies to them in order. */
export class CallerSession implements InputSession {
    private readonly input: CallerInput;
    private runner: SessionRunner | undefined;
    isBusy = false;
    /** Whether a statement has been begun and not been answered. */
    private isAnswering = false;
    isEnded = false;
    private lingerTimer: NodeJS.Timeout | undefined;
    private expiryTimer: NodeJS.Timeout | undefined;
    /** When the last message was received or answered, in monotonic milliseconds. */
    private lastUsedAtMs: number;
    /** Whether the caller has closed its sending side. What it sent before is still answered. */
    private isInputEnded = false;
    /** Whether the session ends once no message waits. */
    private isEnding = false;
    /** Number from 0 to 1 by which the sessions differ in the time at which a shutdown refuses their statements. */
    private readonly drainShare: number;

    private readonly handlers: Readonly<Record<CallerMessage["kind"], MessageHandler>> = {
        startup: message => this.start(message as Extract<CallerMessage, { kind: "startup"; }>),
        statement: message => this.answer(message as Extract<CallerMessage, { kind: "statement"; }>),
        terminate: () => this.end(),
        malformed: () => this.closeWithError(ResultCode.MalformedMessage, "the message is not a message of the protocol"),
    };

    private constructor(
        private readonly socket: Socket,
        private readonly protocol: CallerProtocol,
        private readonly ports: RunnerPorts,
        private readonly gate: StatementGate,
        guard: CallerGuard,
        private readonly onClosed: (session: CallerSession) => void,
    ) {
        this.input = CallerInput.create(socket, protocol.createDecoder(), guard, this);
        this.drainShare = ports.random();
        this.lastUsedAtMs = ports.nowMs();
    }

    static create(
        socket: Socket,
        protocol: CallerProtocol,
        ports: RunnerPorts,
        gate: StatementGate,
        guard: CallerGuard,
        onClosed: (session: CallerSession) => void,
    ): CallerSession {
        const session = new CallerSession(socket, protocol, ports, gate, guard, onClosed);
        socket.setNoDelay(true);
        socket.on("data", chunk => session.receive(chunk));
        // The close event that follows ends the session.
        socket.on("error", () => socket.destroy());
        socket.on("end", () => session.handleInputEnd());
        socket.on("close", () => session.handleClose());
        return session;
    }

    get activity(): SessionActivity {
        if (this.isEnded) {
            return SessionActivity.Ended;
        }
        if (this.isBusy || this.input.hasBytes) {
            return SessionActivity.Running;
        }
        return this.runner === undefined || this.runner.isIdle ? SessionActivity.Idle : SessionActivity.InTransaction;
    }

    /** Time since the last message was received or answered, in milliseconds. */
    get quietMs(): number {
        return this.ports.nowMs() - this.lastUsedAtMs;
    }

    /** Size of the replies that the caller has not read yet, as far as this process holds them. */
    get unsentBytes(): number {
        return this.input.unsentBytes;
    }

    get isStarted(): boolean {
        return this.runner !== undefined;
    }

    get storedBytes(): number {
        return this.runner?.storedBytes ?? 0;
    }

    /** When the open transaction began, in monotonic milliseconds; undefined when none is open. */
    get transactionBeganAtMs(): number | undefined {
        return this.runner?.transactionBeganAtMs;
    }

    /**
     * Closes the connection after sending what has been written to it. What the caller sends afterwards is read and dropped:
     * a reset for unread bytes could destroy the last reply.
     */
    end(): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.socket.end();
            this.socket.resume();
            this.runner?.close();
            this.input.clear();
            this.lingerTimer = setTimeout(() => this.socket.destroy(), LINGER_MS).unref();
        }
    }

    /** Closes the connection at once. */
    destroy(): void {
        this.socket.destroy();
    }

    /** Closes the connection at once, without regard to what was received. */
    abort(): void {
        this.isEnded = true;
        this.socket.destroy();
    }

    /** Ends the session unless bytes of another message have arrived by now. */
    endIfIdle(): void {
        setImmediate(() => {
            if (this.activity === SessionActivity.Idle || this.activity === SessionActivity.InTransaction) {
                this.end();
            }
        });
    }

    /**
     * Ends the session if its caller's key was removed. An open transaction may go on for `REMOVED_KEY_TRANSACTION_MS`, so that a
     * removal does not break off work that was allowed when it began. A session that is still busy then is looked at again.
     */
    applyKeyChanges(): void {
        const { runner } = this;
        if (runner === undefined || this.isEnded || runner.isAuthenticated) {
            clearTimeout(this.expiryTimer);
            this.expiryTimer = undefined;
        }
        else {
            if (this.activity === SessionActivity.Idle) {
                this.endIfIdle();
            }
            // A statement that arrives at this moment keeps the session from ending, so it is looked at again.
            this.expiryTimer ??= setTimeout(() => {
                this.expiryTimer = undefined;
                if (!runner.isAuthenticated) {
                    runner.expireTransaction();
                    this.applyKeyChanges();
                }
            }, REMOVED_KEY_TRANSACTION_MS).unref();
        }
    }

    /** Answers what has been received, without running it, and ends the session. */
    abandon(): void {
        const { runner } = this;
        if (this.isEnded) {
            return;
        }
        if (runner !== undefined && this.isAnswering) {
            this.reply(runner.abandon());
        }
        for (let message = this.input.take(); message !== undefined; message = this.input.take()) {
            if (runner !== undefined && message.kind === "statement") {
                this.reply(runner.refuse());
            }
        }
        this.end();
    }

    private handleInputEnd(): void {
        this.isInputEnded = true;
        if (!this.isBusy) {
            this.end();
        }
    }

    private receive(chunk: Buffer): void {
        this.input.add(chunk);
        if (!this.isEnded) {
            this.lastUsedAtMs = this.ports.nowMs();
            if (!this.isBusy) {
                void this.processWaitingMessages();
            }
        }
    }

    private async processWaitingMessages(): Promise<void> {
        this.isBusy = true;
        while (!this.isEnded) {
            const started = this.input.start();
            const message = started instanceof Promise ? await started : started;
            if (message === undefined) {
                break;
            }
            await this.handle(message);
            await this.input.finish();
        }
        this.isBusy = false;
        this.lastUsedAtMs = this.ports.nowMs();
        if (this.input.error !== undefined) {
            this.closeWithError(this.input.error.code, this.input.error.detail);
        }
        if (this.isInputEnded || this.isEnding) {
            this.end();
        }
        this.input.update();
        this.input.release();
    }

    private async handle(message: CallerMessage): Promise<void> {
        try {
            await this.handlers[message.kind](message);
        }
        catch (error) {
            this.ports.onUnexpectedError(error as Error);
            this.closeWithError(ResultCode.OutcomeUnknown, "internal error in the proxy");
        }
    }

    private start({ database, key }: Extract<CallerMessage, { kind: "startup"; }>): void {
        if (this.runner !== undefined) {
            this.refuseStart(ResultCode.MalformedStartup, "the session has already started");
        }
        else if (this.decide(undefined, 0) !== StatementDecision.Run) {
            this.refuseStart(ResultCode.Draining, "the proxy is shutting down");
        }
        else if (this.ports.directory.routes === undefined) {
            this.refuseStart(ResultCode.NoInstance, "the proxy has not received a configuration yet");
        }
        else if (this.ports.directory.findRoute(database) === undefined) {
            this.refuseStart(ResultCode.UnknownService, database.slice(0, MAXIMUM_DETAIL_CHARACTERS));
        }
        else {
            const runner = SessionRunner.create(database, key, this.ports);
            if (!runner.isAuthenticated) {
                this.refuseStart(ResultCode.AuthenticationFailed, database);
                return;
            }
            this.runner = runner;
            this.socket.write(this.protocol.encodeGreeting(), "latin1");
        }
    }

    private refuseStart(code: ResultCode, detail: string): void {
        this.ports.onStartupRefused?.(code);
        this.closeWithError(code, detail);
    }

    private async answer({ statement }: Extract<CallerMessage, { kind: "statement"; }>): Promise<void> {
        if (this.runner === undefined) {
            this.closeWithError(ResultCode.MalformedStartup, "the first statement was sent before the start-up message");
            return;
        }
        const { runner } = this;
        const isRefused = !runner.isAnsweredLocally(statement)
            && (this.isEnding || this.decide(runner.transactionBeganAtMs, runner.timeoutMs) !== StatementDecision.Run);
        this.isEnding ||= isRefused;
        this.isAnswering = !isRefused;
        const reply = isRefused ? runner.refuse() : await runner.run(statement);
        this.isAnswering = false;
        this.reply(reply);
    }

    private decide(transactionBeganAtMs: number | undefined, timeoutMs: number): StatementDecision {
        return this.gate.decide({ transactionBeganAtMs, timeoutMs, share: this.drainShare });
    }

    private reply(reply: CallerReply): void {
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
        clearTimeout(this.lingerTimer);
        clearTimeout(this.expiryTimer);
        this.runner?.close();
        this.input.clear();
        this.input.release();
        this.onClosed(this);
    }
}
