import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { buildAuthenticationOk, buildErrorResponse, Severity } from "@pomeloturn/wire-messages/buildMessage";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";
import { StartupCode, StartupFramer } from "./StartupFramer.ts";

/** Identity that a caller has stated at start-up. */
export interface CallerIdentity {
    readonly user: string;
    /** The database name, or the user if the caller stated none. */
    readonly service: string;
    readonly parameters: Readonly<Record<string, string>>;
}

/** User and password that callers of a service have to present. */
export interface ServiceCredentials {
    readonly user: string;
    readonly password: string;
}

/** Constants for `StartupResult.outcome`. */
export const StartupOutcome = {
    Accepted: "accepted",
    Cancel: "cancel",
} as const;

export type StartupResult =
    | { readonly outcome: typeof StartupOutcome.Accepted; readonly socket: Socket; readonly identity: CallerIdentity; }
    | { readonly outcome: typeof StartupOutcome.Cancel; readonly processId: number; readonly secretKey: number; };

export interface CallerStartupOptions {
    /** Maximum time from the connection to an accepted password. */
    readonly timeoutMs: number;
    /** @returns undefined if the service does not exist */
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

const hash = (text: string): Buffer => createHash("sha256").update(text).digest();

/**
 * Performs start-up and password authentication with the gateway library, which receives one complete and validated
 * packet at a time. The socket is detached from the library as soon as the password is accepted.
 */
export class CallerStartup extends PostgresConnection {
    private readonly startupOptions: CallerStartupOptions;
    private readonly framer = StartupFramer.create();
    private readonly timer: NodeJS.Timeout;
    private isFinished = false;
    private pendingWork: Promise<void> = Promise.resolve();

    private constructor(socket: Socket, startupOptions: CallerStartupOptions) {
        super(socket, {
            authMode: "cleartextPassword",
            validateCredentials: (credentials, state) => {
                const identity = toIdentity(state.clientInfo?.parameters ?? {});
                return "password" in credentials && this.isPasswordValid(identity, credentials.password);
            },
            onStartup: () => this.rejectUnknownService(),
        });
        this.startupOptions = startupOptions;
        this.timer = setTimeout(() => this.reject(ResultCode.StartupTimedOut, ""), startupOptions.timeoutMs);
        socket.on("close", () => this.finish());
    }

    static create(socket: Socket, startupOptions: CallerStartupOptions): CallerStartup {
        return new CallerStartup(socket, startupOptions);
    }

    /** Receives the bytes of the socket, in place of the library's own framing. */
    override handleData(chunk: Buffer): Promise<void> {
        this.framer.push(chunk);
        this.pendingWork = this.pendingWork.then(() => this.handlePackets()).catch((error: unknown) => {
            const hasResultCode = error instanceof PomeloturnError;
            this.reject(hasResultCode ? error.code : ResultCode.MalformedStartup, hasResultCode ? error.detail : "");
        });
        return this.pendingWork;
    }

    /** Called by the library once the password is accepted. Hands the socket over to `onResult`. */
    override completeAuthentication(): Promise<void> {
        this.isAuthenticated = true;
        this.finish();
        const socket = this.detach();
        socket.write(buildAuthenticationOk());
        const identity = toIdentity(this.clientInfo?.parameters ?? {});
        this.startupOptions.onResult({ outcome: StartupOutcome.Accepted, socket, identity });
        const remainder = this.framer.takeRemainingBytes();
        if (remainder.length > 0) {
            socket.unshift(remainder);
        }
        return Promise.resolve();
    }

    /** Called by the library, which then closes the socket. */
    override sendAuthenticationFailedError(): void {
        this.reject(ResultCode.AuthenticationFailed, "");
    }

    private async handlePackets(): Promise<void> {
        let packet = this.isFinished ? undefined : this.framer.nextPacket();
        while (packet !== undefined) {
            if (this.hasStarted || !this.handleSpecialRequest(packet)) {
                await this.handleMessage(packet);
            }
            packet = this.isFinished ? undefined : this.framer.nextPacket();
        }
    }

    private rejectUnknownService(): boolean {
        const { service } = toIdentity(this.clientInfo?.parameters ?? {});
        const isUnknown = this.startupOptions.findCredentials(service) === undefined;
        if (isUnknown) {
            this.reject(ResultCode.UnknownService, service);
        }
        return isUnknown;
    }

    private isPasswordValid({ service, user }: CallerIdentity, password: string): boolean {
        const expected = this.startupOptions.findCredentials(service);
        return expected?.user === user && timingSafeEqual(hash(password), hash(expected.password));
    }

    /** Handles cancel, SSL and GSS encryption requests. @returns whether the packet was one of them */
    private handleSpecialRequest(packet: Buffer): boolean {
        const code = packet.readUInt32BE(CODE_OFFSET);
        if (code === StartupCode.GssEncryption || code === StartupCode.Ssl) {
            this.socket.write("N");
        }
        if (code === StartupCode.Cancel) {
            this.startupOptions.onResult({
                outcome: StartupOutcome.Cancel,
                processId: packet.readUInt32BE(PROCESS_ID_OFFSET),
                secretKey: packet.readInt32BE(SECRET_KEY_OFFSET),
            });
            this.finish();
            this.detach().destroy();
        }
        return code !== StartupCode.Protocol30;
    }

    private reject(code: ResultCode, detail: string): void {
        if (!this.isFinished) {
            this.finish();
            this.detach().end(buildErrorResponse(code, detail, Severity.Fatal), () => this.socket.destroy());
        }
    }

    private finish(): void {
        this.isFinished = true;
        clearTimeout(this.timer);
    }
}
