import { buildAuthenticationOk } from "@pomeloturn/wire-messages/buildMessage";
import type { Socket } from "node:net";
import { PostgresConnection } from "pg-gateway";

/** What a caller stated at start-up. */
export interface CallerIdentity {
    readonly user: string;
    /** The database name. */
    readonly service: string;
    readonly parameters: Readonly<Record<string, string>>;
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
    /** @returns the password of the service's user; undefined when there is no such service or user */
    readonly findPassword: (identity: CallerIdentity) => string | undefined;
    readonly onResult: (result: StartupResult) => void;
}

const CANCEL_REQUEST_CODE = 80_877_102;
const CODE_OFFSET = 4;

const toIdentity = (parameters: Readonly<Record<string, string>>): CallerIdentity => ({
    user: parameters["user"] ?? "",
    service: parameters["database"] ?? parameters["user"] ?? "",
    parameters,
});

/**
 * Start-up and password authentication by the gateway library. The socket is taken from the library
 * as soon as the password is accepted, since it mis-frames messages that span TCP segments.
 */
export class CallerStartup extends PostgresConnection {
    private readonly onResult: (result: StartupResult) => void;

    private constructor(socket: Socket, startup: CallerStartupOptions) {
        super(socket, {
            authMode: "cleartextPassword",
            validateCredentials: (credentials, state) => {
                const expected = startup.findPassword(toIdentity(state.clientInfo?.parameters ?? {}));
                return "password" in credentials && expected !== undefined && credentials.password === expected;
            },
            onMessage: (data, state) => !state.hasStarted && this.takeCancelRequest(Buffer.from(data)),
        });
        this.onResult = startup.onResult;
    }

    static create(socket: Socket, startup: CallerStartupOptions): CallerStartup {
        return new CallerStartup(socket, startup);
    }

    /** Called by the library once the password is accepted; the caller of this package goes on from there. */
    override completeAuthentication(): Promise<void> {
        this.isAuthenticated = true;
        const socket = this.detach();
        socket.write(buildAuthenticationOk());
        const identity = toIdentity(this.clientInfo?.parameters ?? {});
        this.onResult({ outcome: StartupOutcome.Accepted, socket, identity });
        return Promise.resolve();
    }

    private takeCancelRequest(data: Buffer): boolean {
        if (data.length !== 16 || data.readInt32BE(CODE_OFFSET) !== CANCEL_REQUEST_CODE) {
            return false;
        }
        this.onResult({ outcome: StartupOutcome.Cancel, processId: data.readInt32BE(8), secretKey: data.readInt32BE(12) });
        this.detach().destroy();
        return true;
    }
}
