import type { RunnerPorts } from "@pomeloturn/statement-runner/RunnerPorts";
import type { CallerProtocol } from "@pomeloturn/types/Protocols";
import { createServer, type Server } from "node:net";
import { CallerSession } from "./CallerSession.ts";

const BACKLOG = 1_024;

/** Accepts connections of callers and tracks their sessions. */
export class CallerListener {
    readonly sessions = new Set<CallerSession>();
    private readonly server: Server;

    private constructor(protocol: CallerProtocol, ports: RunnerPorts) {
        this.server = createServer({ allowHalfOpen: true }, socket => {
            this.sessions.add(CallerSession.create(socket, protocol, ports, session => this.sessions.delete(session)));
        });
    }

    static create(host: string, port: number, protocol: CallerProtocol, ports: RunnerPorts): CallerListener {
        const listener = new CallerListener(protocol, ports);
        listener.server.listen({ host, port, backlog: BACKLOG });
        return listener;
    }

    /** Stops accepting callers. Open sessions continue. */
    stopAccepting(): void {
        this.server.close();
    }
}
