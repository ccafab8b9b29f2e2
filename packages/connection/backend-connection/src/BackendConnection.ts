import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { KEEP_ALIVE_OPTIONS } from "@pomeloturn/types/keepAlive";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import { BackendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { createConnection, type Socket } from "node:net";
import { serialize } from "pg-protocol";
import { answerAuthentication, type BackendCredentials } from "./answerAuthentication.ts";
import { ScramExchange } from "./ScramExchange.ts";

const MAXIMUM_ANSWER_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Messages that a backend server may send at any time, independent of a request. */
const ASYNCHRONOUS_MESSAGE_TYPES: ReadonlySet<number> = new Set([BackendType.ParameterStatus, BackendType.NotificationResponse]);

/** Address, credentials and limits of a connection. */
export interface BackendConnectionOptions extends BackendCredentials {
    readonly host: string;
    readonly port: number;
    readonly database: string;
    readonly connectTimeoutMs: number;
    /** Name of this VM, under which the backend server lists the connection. */
    readonly applicationName: string;
}

/** Key that identifies a connection in a CancelRequest, received in BackendKeyData. */
export interface CancelKey {
    readonly processId: number;
    readonly secretKey: number;
}

/** Receives the answer to one request. It ends with exactly one call of `onDone` or `onLost`. */
export interface AnswerHandler {
    /** @param step number of ReadyForQuery messages before this message */
    onMessage(message: Buffer, step: number): void;
    onDone(): void;
    onLost(error: PomeloturnError): void;
}

interface ActiveRequest {
    readonly handler: AnswerHandler;
    readonly stepCount: number;
    step: number;
}

/** Connection to a backend server that runs one request at a time. */
export class BackendConnection {
    private activeRequest: ActiveRequest | undefined;
    private isClosed = false;
    private readonly scramExchange = ScramExchange.create();
    private readonly framer = MessageFramer.create(MAXIMUM_ANSWER_MESSAGE_BYTES);
    /** Whether the connection may hold state of a session, so that other sessions must not use it. */
    isTainted = false;
    /** Undefined if the backend server sent none. */
    cancelKey: CancelKey | undefined;
    /** Called once if the connection is closed while no request runs. */
    onIdleClosed: () => void = () => undefined;

    private constructor(private readonly socket: Socket) {}

    /** Connects and authenticates. @throws PomeloturnError with `BackendUnreachable` */
    static open(options: BackendConnectionOptions): Promise<BackendConnection> {
        return new Promise((resolve, reject) => {
            const socket = createConnection({ host: options.host, port: options.port, noDelay: true, ...KEEP_ALIVE_OPTIONS });
            const connection = new BackendConnection(socket);
            const fail = (cause?: Error): void => {
                socket.destroy();
                reject(PomeloturnError.create(ResultCode.BackendUnreachable, `no connection to ${options.host}:${options.port}`, cause));
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
                    connection.attachSocketHandlers();
                    resolve(connection);
                }, fail));
        });
    }

    /**
     * Sends frontend messages and passes the answer to the handler. No other request may be running.
     *
     * @param stepCount number of ReadyForQuery messages after which the answer is complete
     */
    start(messages: Buffer, stepCount: number, handler: AnswerHandler): void {
        if (this.isClosed) {
            handler.onLost(PomeloturnError.create(ResultCode.BackendUnreachable));
            return;
        }
        this.activeRequest = { handler, stepCount, step: 0 };
        this.socket.write(messages);
    }

    /** Stops or resumes reading, so that the answer to a slow caller is not buffered without limit. */
    setPaused(isPaused: boolean): void {
        if (isPaused) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
    }

    /** Closes the connection. A running request ends with `onLost`. */
    close(): void {
        this.socket.destroy();
        this.handleClosed(undefined);
    }

    private receiveStartup(chunk: Buffer, credentials: BackendCredentials, onReady: () => void, onFailed: (cause: Error) => void): void {
        try {
            for (const message of this.framer.push(chunk)) {
                const reply = answerAuthentication(message, credentials, this.scramExchange);
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

    private attachSocketHandlers(): void {
        this.socket.on("data", chunk => this.receive(chunk));
        this.socket.on("error", error => this.handleClosed(error));
        this.socket.on("close", () => this.handleClosed(undefined));
    }

    private receive(chunk: Buffer): void {
        try {
            for (const message of this.framer.push(chunk)) {
                this.receiveMessage(message);
            }
        }
        catch (error) {
            this.socket.destroy();
            this.handleClosed(error as Error);
        }
    }

    private receiveMessage(message: Buffer): void {
        if (ASYNCHRONOUS_MESSAGE_TYPES.has(message[0]!)) {
            return;
        }
        const request = this.activeRequest;
        if (request === undefined) {
            // A message without a request: the state of the connection is unknown from here on.
            this.close();
            return;
        }
        request.handler.onMessage(message, request.step);
        if (message[0] !== BackendType.ReadyForQuery) {
            return;
        }
        request.step++;
        if (request.step === request.stepCount) {
            this.activeRequest = undefined;
            request.handler.onDone();
        }
    }

    private handleClosed(cause: Error | undefined): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        const request = this.activeRequest;
        this.activeRequest = undefined;
        if (request === undefined) {
            this.onIdleClosed();
            return;
        }
        request.handler.onLost(PomeloturnError.create(ResultCode.BackendLost, "", cause));
    }
}
