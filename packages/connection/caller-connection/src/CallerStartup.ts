import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildAuthenticationOk, buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";
import { StartupCode, StartupFramer } from "./StartupFramer.ts";

/** What a caller stated at start-up. */
export interface CallerIdentity {
    readonly user: string;
    /** The database name. */
    readonly service: string;
    readonly parameters: Readonly<Record<string, string>>;
}

/** User and password of a service. */
export interface ServiceCredentials {
    readonly user: string;
    readonly password: string;
}

/** Constants for the outcome of a start-up. */
export const StartupOutcome = {
    Accepted: "accepted",
    Cancel: "cancel",
} as const;

export type StartupResult =
    | { readonly outcome: typeof StartupOutcome.Accepted; readonly socket: Socket; readonly identity: CallerIdentity; }
    | { readonly outcome: typeof StartupOutcome.Cancel; readonly processId: number; readonly secretKey: number; };

export interface CallerStartupOptions {
    /** Longest time from the connection to an accepted password. */
    readonly timeoutMs: number;
    /** @returns undefined when there is no such service */
    readonly findCredentials: (service: string) => ServiceCredentials | undefined;
    /** Called at most once. */
    readonly onResult: (result: StartupResult) => void;
}

const CODE_OFFSET = 4;
const PROCESS_ID_OFFSET = 8;
const SECRET_KEY_OFFSET = 12;

const toIdentity = (parameters: Readonly<Record<string, string>>): CallerIdentity => ({
    user: parameters["user"] ?? "",
    service: parameters["database"] ?? parameters["user"] ?? "",
    parameters,
});

const digest = (text: string): Buffer => createHash("sha256").update(text).digest();

/**
 * Start-up and password authentication by the gateway library, which gets one whole, checked packet at a
 * time. The socket is taken from it as soon as the password is accepted.
 */
export class CallerStartup extends PostgresConnection {
    private readonly startup: CallerStartupOptions;
    private readonly framer = StartupFramer.create();
    private readonly timer: NodeJS.Timeout;
    private isOver = false;
    private work: Promise<void> = Promise.resolve();

    private constructor(socket: Socket, startup: CallerStartupOptions) {
        super(socket, {
            authMode: "cleartextPassword",
            validateCredentials: (credentials, state) => {
                const identity = toIdentity(state.clientInfo?.parameters ?? {});
                return "password" in credentials && this.isPasswordRight(identity, credentials.password);
            },
            onStartup: () => this.isServiceUnknown(),
        });
        this.startup = startup;
        this.timer = setTimeout(() => this.refuse(ResultCode.StartupTimedOut, ""), startup.timeoutMs);
        socket.on("close", () => this.finish());
    }

    static create(socket: Socket, startup: CallerStartupOptions): CallerStartup {
        return new CallerStartup(socket, startup);
    }

    /** Called with the bytes of the socket, in place of the library's own framing. */
    override handleData(chunk: Buffer): Promise<void> {
        this.framer.push(chunk);
        this.work = this.work.then(() => this.handlePackets()).catch((error: unknown) => {
            const isNumbered = error instanceof PomeloturnError;
            this.refuse(isNumbered ? error.code : ResultCode.MalformedStartup, isNumbered ? error.detail : "");
        });
        return this.work;
    }

    /** Called by the library once the password is accepted; the caller of this package goes on from there. */
    override completeAuthentication(): Promise<void> {
        this.isAuthenticated = true;
        this.finish();
        const socket = this.detach();
        socket.write(buildAuthenticationOk());
        const identity = toIdentity(this.clientInfo?.parameters ?? {});
        this.startup.onResult({ outcome: StartupOutcome.Accepted, socket, identity });
        const rest = this.framer.takeRest();
        if (rest.length > 0) {
            socket.unshift(rest);
        }
        return Promise.resolve();
    }

    /** Called by the library, which then ends the socket. */
    override sendAuthenticationFailedError(): void {
        this.refuse(ResultCode.AuthenticationFailed, "");
    }

    private async handlePackets(): Promise<void> {
        let packet = this.isOver ? undefined : this.framer.next();
        while (packet !== undefined) {
            if (this.hasStarted || !this.takeSpecialRequest(packet)) {
                await this.handleMessage(packet);
            }
            packet = this.isOver ? undefined : this.framer.next();
        }
    }

    private isServiceUnknown(): boolean {
        const { service } = toIdentity(this.clientInfo?.parameters ?? {});
        const isUnknown = this.startup.findCredentials(service) === undefined;
        if (isUnknown) {
            this.refuse(ResultCode.UnknownService, service);
        }
        return isUnknown;
    }

    private isPasswordRight({ service, user }: CallerIdentity, password: string): boolean {
        const expected = this.startup.findCredentials(service);
        return expected?.user === user && timingSafeEqual(digest(password), digest(expected.password));
    }

    /** Handles the requests that have a packet but no session. @returns whether the packet was one */
    private takeSpecialRequest(packet: Buffer): boolean {
        const code = packet.readUInt32BE(CODE_OFFSET);
        if (code === StartupCode.GssEncryption || code === StartupCode.Ssl) {
            this.socket.write("N");
        }
        if (code === StartupCode.Cancel) {
            this.startup.onResult({
                outcome: StartupOutcome.Cancel,
                processId: packet.readUInt32BE(PROCESS_ID_OFFSET),
                secretKey: packet.readInt32BE(SECRET_KEY_OFFSET),
            });
            this.finish();
            this.detach().destroy();
        }
        return code !== StartupCode.Protocol30;
    }

    private refuse(code: ResultCode, detail: string): void {
        if (!this.isOver) {
            this.finish();
            this.detach().end(buildErrorResponse(code, detail, Severity.Fatal), () => this.socket.destroy());
        }
    }

    private finish(): void {
        this.isOver = true;
        clearTimeout(this.timer);
    }
}
