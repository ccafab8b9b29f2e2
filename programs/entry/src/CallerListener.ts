import { listenUntilBound } from "@pomeloturn/bind-server/listenUntilBound";
import type { HostPort } from "@pomeloturn/platform/PlatformSettings";
import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import { KEEP_ALIVE_OPTIONS } from "@pomeloturn/types/keepAlive";
import type { CallerProtocol } from "@pomeloturn/types/Protocols";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import type { CallerGuard } from "./CallerGuard.ts";
import { CallerSession, type StatementGate } from "./CallerSession.ts";

const BACKLOG = 1_024;

/** Accepts connections of callers and tracks their sessions. */
export class CallerListener {
    readonly sessions = new Set<CallerSession>();
    private readonly server: Server;

    private constructor(protocol: CallerProtocol, ports: RunnerPorts, gate: StatementGate, guard: CallerGuard) {
        this.server = createServer({ allowHalfOpen: true, ...KEEP_ALIVE_OPTIONS }, socket => {
            if (guard.tryAccept()) {
                this.sessions.add(CallerSession.create(socket, protocol, ports, gate, guard, session => this.sessions.delete(session)));
            }
            else {
                socket.destroy();
            }
        });
    }

    /** @param onError called with each error of the server */
    static create(
        address: HostPort,
        protocol: CallerProtocol,
        ports: RunnerPorts,
        gate: StatementGate,
        onError: (error: Error) => void,
        guard: CallerGuard,
    ): CallerListener {
        const listener = new CallerListener(protocol, ports, gate, guard);
        listenUntilBound(listener.server, { ...address, backlog: BACKLOG }, onError);
        return listener;
    }

    get isListening(): boolean {
        return this.server.listening;
    }

    /** Resolves with the port once the listener accepts callers. */
    async listeningPort(): Promise<number> {
        if (!this.server.listening) {
            await once(this.server, "listening");
        }
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops accepting callers. Open sessions continue. */
    stopAccepting(): void {
        this.server.close();
    }
}
