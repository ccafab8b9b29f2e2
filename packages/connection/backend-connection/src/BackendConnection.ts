import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import { BackendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { createConnection, type Socket } from "node:net";
import { serialize } from "pg-protocol";
import { answerAuthentication, type BackendCredentials } from "./answerAuthentication.ts";
import { ScramExchange } from "./ScramExchange.ts";

const MAXIMUM_ANSWER_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Messages that a backend server may send at any time; they concern no request. */
const UNASKED_TYPES: ReadonlySet<number> = new Set([BackendType.ParameterStatus, BackendType.NotificationResponse]);

/** Where and how to connect. */
export interface BackendConnectionOptions extends BackendCredentials {
    readonly host: string;
    readonly port: number;
    readonly database: string;
    readonly connectTimeoutMs: number;
    /** Name by which the backend server lists the connection: the VM. */
    readonly applicationName: string;
}

/** Identifies a connection in a CancelRequest, from its BackendKeyData. */
export interface CancelKey {
    readonly processId: number;
    readonly secretKey: number;
}

/** Receives the answer of one run. Exactly one of `onDone` and `onLost` ends it. */
export interface RunHandler {
    /** @param step index of the ReadyForQuery that will close the part the message belongs to */
    onMessage(message: Buffer, step: number): void;
    onDone(): void;
    onLost(error: PomeloturnError): void;
}

interface Run {
    readonly handler: RunHandler;
    readonly stepCount: number;
    step: number;
}

/** One connection to an instance. It runs one request at a time. */
export class BackendConnection {
    private run: Run | undefined;
    private isClosed = false;
    private readonly exchange = ScramExchange.create();
    private readonly framer = MessageFramer.create(MAXIMUM_ANSWER_MESSAGE_BYTES);
    /** Whether the connection may keep state of a session, so that no other one may use it. */
    isTainted = false;
    /** Undefined when the backend server told none. */
    cancelKey: CancelKey | undefined;
    /** Called once when the connection ends while no request runs. */
    onIdleLost: () => void = () => undefined;

    private constructor(private readonly socket: Socket) {}

    /** @throws PomeloturnError with `BackendUnreachable` */
    static open(options: BackendConnectionOptions): Promise<BackendConnection> {
        return new Promise((resolve, reject) => {
            const socket = createConnection({ host: options.host, port: options.port, noDelay: true });
            const connection = new BackendConnection(socket);
            const fail = (cause?: Error): void => {
                socket.destroy();
                reject(PomeloturnError.create(ResultCode.BackendUnreachable, `${options.host}:${options.port}`, cause));
            };
            const timer = setTimeout(fail, options.connectTimeoutMs);
            socket.once("error", fail);
            socket.once("close", () => fail());
            socket.on("connect", () =>
                socket.write(serialize.startup({
                    user: options.user,
                    database: options.database,
                    application_name: options.applicationName,
                })));
            socket.on("data", chunk =>
                connection.receiveStartup(chunk, options, () => {
                    clearTimeout(timer);
                    socket.removeAllListeners();
                    connection.attach();
                    resolve(connection);
                }, fail));
        });
    }

    /**
     * Sends frontend messages and reports the answer.
     *
     * @param stepCount number of ReadyForQuery messages that end the answer
     */
    start(messages: Buffer, stepCount: number, handler: RunHandler): void {
        if (this.isClosed) {
            handler.onLost(PomeloturnError.create(ResultCode.BackendUnreachable));
            return;
        }
        this.run = { handler, stepCount, step: 0 };
        this.socket.write(messages);
    }

    /** Stops or resumes reading, so that a slow caller bounds what is buffered. */
    setPaused(isPaused: boolean): void {
        if (isPaused) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
    }

    /** Closes the socket. A run that is under way is lost. */
    close(): void {
        this.socket.destroy();
        this.lose(undefined);
    }

    private receiveStartup(chunk: Buffer, credentials: BackendCredentials, onReady: () => void, onFailed: (cause: Error) => void): void {
        try {
            for (const message of this.framer.push(chunk)) {
                const reply = answerAuthentication(message, credentials, this.exchange);
                Promise.resolve(reply).then(bytes => bytes === undefined || this.socket.write(bytes), onFailed);
                if (message[0] === BackendType.BackendKeyData) {
                    this.cancelKey = {
                        processId: message.readInt32BE(HEADER_SIZE_BYTES),
                        secretKey: message.readInt32BE(HEADER_SIZE_BYTES + 4),
                    };
                }
                if (message[0] === BackendType.ReadyForQuery) {
                    onReady();
                }
            }
        }
        catch (error) {
            onFailed(error as Error);
        }
    }

    private attach(): void {
        this.socket.on("data", chunk => this.receive(chunk));
        this.socket.on("error", error => this.lose(error));
        this.socket.on("close", () => this.lose(undefined));
    }

    private receive(chunk: Buffer): void {
        try {
            for (const message of this.framer.push(chunk)) {
                this.receiveMessage(message);
            }
        }
        catch (error) {
            this.socket.destroy();
            this.lose(error as Error);
        }
    }

    private receiveMessage(message: Buffer): void {
        if (UNASKED_TYPES.has(message[0]!)) {
            return;
        }
        const run = this.run;
        if (run === undefined) {
            // An answer that nobody asked for: the connection's state is not known any more.
            this.close();
            return;
        }
        run.handler.onMessage(message, run.step);
        if (message[0] !== BackendType.ReadyForQuery) {
            return;
        }
        run.step++;
        if (run.step === run.stepCount) {
            this.run = undefined;
            run.handler.onDone();
        }
    }

    private lose(cause: Error | undefined): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        const run = this.run;
        this.run = undefined;
        if (run === undefined) {
            this.onIdleLost();
            return;
        }
        run.handler.onLost(PomeloturnError.create(ResultCode.BackendLost, "", cause));
    }
}
