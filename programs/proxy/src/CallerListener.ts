import { type CallerIdentity, CallerStartup, StartupOutcome, type StartupResult } from "@pomeloturn/caller-connection/CallerStartup";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { decodeToken } from "@pomeloturn/session-token/decodeToken";
import { EMPTY_TOKEN, type SessionToken } from "@pomeloturn/session-token/SessionToken";
import { findRank, findReadKind } from "@pomeloturn/session/findAttributes";
import { findAttributeName, readStartupOptions } from "@pomeloturn/session/readAttributes";
import { createSession } from "@pomeloturn/session/SessionState";
import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import { KEEP_ALIVE_OPTIONS } from "@pomeloturn/types/keepAlive";
import { buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { randomInt } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import { buildStartupReply } from "./buildStartupReply.ts";
import { SessionActor, type SessionEnvironment } from "./SessionActor.ts";

/** Value of `pomeloturn.token` for a session that has not written anything yet. */
export const NEW_SESSION_TOKEN = "new";

const STARTUP_TIMEOUT_MS = 10_000;

/** Exclusive upper bound of secret keys, so that they fit a signed 32-bit integer. */
const SECRET_KEY_RANGE = 2 ** 31 - 1;

/** Dependencies and limits of `CallerListener`. */
export interface CallerListenerOptions {
    readonly vm: string;
    readonly callerLimit: number;
    view(): ControlView;
    environment(onClosed: () => void): SessionEnvironment;
}

/** A session with the secret key that a cancel request must present. */
interface CancelableSession {
    readonly actor: SessionActor;
    readonly secretKey: number;
}

/** Accepts connections of callers and starts their sessions. */
export class CallerListener {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private isDraining = false;
    private readonly sessions = new Map<number, CancelableSession>();
    private nextProcessId = 1;

    private constructor(private readonly options: CallerListenerOptions) {
        this.server = createServer(KEEP_ALIVE_OPTIONS, socket => this.accept(socket));
    }

    static create(options: CallerListenerOptions): CallerListener {
        return new CallerListener(options);
    }

    /** @returns the bound port. @throws Error if the address cannot be bound */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                const address = this.server.address();
                resolve(typeof address === "object" && address !== null ? address.port : port);
            });
        });
    }

    get sessionCount(): number {
        return this.sessions.size;
    }

    /** Refuses new callers and ends each session when it is idle, or all sessions immediately if `isFinal`. */
    drain(isFinal: boolean): void {
        this.isDraining = true;
        for (const { actor } of this.sessions.values()) {
            actor.drain(isFinal);
        }
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private accept(socket: Socket): void {
        const refusalCode = this.isDraining ? ResultCode.Draining : ResultCode.TooManyCallers;
        if (this.isDraining || this.sockets.size >= this.options.callerLimit) {
            socket.on("error", () => socket.destroy());
            socket.end(buildErrorResponse(refusalCode, "", Severity.Fatal));
            return;
        }
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        CallerStartup.create(socket, {
            timeoutMs: STARTUP_TIMEOUT_MS,
            findCredentials: service => this.findService(service),
            onResult: result => this.handleStartupResult(result),
        });
    }

    private findService(name: string): ServiceConfiguration | undefined {
        const { services } = this.options.view().configuration;
        return Object.hasOwn(services, name) ? services[name] : undefined;
    }

    private handleStartupResult(result: StartupResult): void {
        if (result.outcome === StartupOutcome.Cancel) {
            this.cancel(result.processId, result.secretKey);
            return;
        }
        const { socket, identity } = result;
        try {
            this.startSession(socket, identity);
        }
        catch (error) {
            const hasResultCode = error instanceof PomeloturnError;
            const code = hasResultCode ? error.code : ResultCode.MalformedStartup;
            socket.end(buildErrorResponse(code, hasResultCode ? error.detail : "", Severity.Fatal));
        }
    }

    private startSession(socket: Socket, identity: CallerIdentity): void {
        const options = readStartupOptions(identity.parameters["options"] ?? "");
        const token = this.readToken(identity.service, options.get("token"));
        const attributes = Object.fromEntries([...options].flatMap(([name, value]) => {
            const attribute = findAttributeName(name);
            return attribute === undefined ? [] : [[attribute, value]];
        }));
        const service = this.findService(identity.service)!;
        findRank(service, attributes);
        findReadKind(service, attributes);
        const processId = this.nextProcessId++;
        const secretKey = randomInt(SECRET_KEY_RANGE);
        const state = createSession(`${this.options.vm}-${processId}`, identity.service, token, attributes);
        const actor = SessionActor.create(state, socket, this.options.environment(() => this.sessions.delete(processId)));
        this.sessions.set(processId, { actor, secretKey });
        socket.write(buildStartupReply(processId, secretKey));
        if (this.isDraining) {
            actor.drain(false);
        }
    }

    /** Cancels the request of a session. Ignores a wrong secret key without a reply, as PostgreSQL does. */
    private cancel(processId: number, secretKey: number): void {
        const session = this.sessions.get(processId);
        if (session?.secretKey === secretKey) {
            session.actor.cancel();
        }
    }

    /**
     * Decodes the session token of a caller.
     *
     * @returns undefined if no token was presented
     * @throws PomeloturnError with `TokenMalformed`, `TokenOtherService` or `TokenForged`
     */
    readToken(service: string, text: string | undefined): SessionToken | undefined {
        if (text === undefined) {
            return undefined;
        }
        if (text === NEW_SESSION_TOKEN) {
            return EMPTY_TOKEN;
        }
        return decodeToken(text, service, this.findService(service)!.tokenKey);
    }
}
