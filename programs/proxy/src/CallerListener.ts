import { CallerStartup, StartupOutcome, type StartupResult } from "@pomeloturn/caller-connection/CallerStartup";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { decodeToken } from "@pomeloturn/session-token/decodeToken";
import type { SessionToken } from "@pomeloturn/session-token/SessionToken";
import { readStartupOptions, toAttribute } from "@pomeloturn/session/readAttributes";
import { createSession } from "@pomeloturn/session/SessionState";
import type { ServiceConfiguration } from "@pomeloturn/types/Configuration";
import type { ControlView } from "@pomeloturn/types/ControlView";
import {
    buildBackendKeyData,
    buildErrorResponse,
    buildParameterStatus,
    buildReadyForQuery,
    Severity,
} from "@pomeloturn/wire-messages/buildMessage";
import { createServer, type Server, type Socket } from "node:net";
import { SessionActor, type SessionEnvironment } from "./SessionActor.ts";

/** Value of `pomeloturn.token` by which a caller states that it has written nothing yet. */
export const NEW_SESSION_TOKEN = "new";

const PARAMETERS: readonly (readonly [name: string, value: string])[] = [
    ["server_version", "15.0 (pomeloturn)"],
    ["server_encoding", "UTF8"],
    ["client_encoding", "UTF8"],
    ["DateStyle", "ISO, MDY"],
    ["integer_datetimes", "on"],
    ["standard_conforming_strings", "on"],
    ["TimeZone", "UTC"],
];

export interface CallerListenerOptions {
    readonly vm: string;
    readonly callerLimit: number;
    view(): ControlView;
    environment(onClosed: () => void): SessionEnvironment;
}

/** Accepts callers and starts their sessions. */
export class CallerListener {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private nextSession = 1;

    private constructor(private readonly options: CallerListenerOptions) {
        this.server = createServer(socket => this.accept(socket));
    }

    static create(options: CallerListenerOptions): CallerListener {
        return new CallerListener(options);
    }

    /** @returns the port that was bound */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                const address = this.server.address();
                resolve(typeof address === "object" && address !== null ? address.port : port);
            });
        });
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private accept(socket: Socket): void {
        if (this.sockets.size >= this.options.callerLimit) {
            socket.end(buildErrorResponse(ResultCode.TooManyCallers, "", Severity.Fatal));
            return;
        }
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        CallerStartup.create(socket, {
            findPassword: identity => this.findService(identity.service, identity.user)?.password,
            onResult: result => this.startSession(result),
        });
    }

    private findService(name: string, user: string): ServiceConfiguration | undefined {
        const service = this.options.view().configuration.services[name];
        return service?.user === user ? service : undefined;
    }

    private startSession(result: StartupResult): void {
        if (result.outcome !== StartupOutcome.Accepted) {
            return;
        }
        const { socket, identity } = result;
        try {
            const options = readStartupOptions(identity.parameters["options"] ?? "");
            const token = this.readToken(identity.service, options.get("token"));
            const attributes = Object.fromEntries([...options].flatMap(([name, value]) => {
                const attribute = toAttribute(name);
                return attribute === undefined ? [] : [[attribute, value]];
            }));
            const number = this.nextSession++;
            const state = createSession(`${this.options.vm}-${number}`, identity.service, token, attributes);
            SessionActor.create(state, socket, this.options.environment(() => undefined));
            socket.write(greeting(number));
        }
        catch (error) {
            const code = error instanceof PomeloturnError ? error.code : ResultCode.MalformedStartup;
            socket.end(buildErrorResponse(code, "", Severity.Fatal));
        }
    }

    readToken(service: string, text: string | undefined): SessionToken | undefined {
        if (text === undefined) {
            return undefined;
        }
        if (text === NEW_SESSION_TOKEN) {
            return new Map();
        }
        return decodeToken(text, service, this.options.view().configuration.services[service]!.tokenKey);
    }
}

const greeting = (session: number): Buffer =>
    Buffer.concat([
        ...PARAMETERS.map(([name, value]) => buildParameterStatus(name, value)),
        buildBackendKeyData(session, 0),
        buildReadyForQuery("I"),
    ]);
