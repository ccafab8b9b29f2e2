import { listenUntilBound } from "@pomeloturn/bind-server/listenUntilBound";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { createServer, type Server } from "node:net";
import { RelayConnection } from "./RelayConnection.ts";
import type { TableCache } from "./TableCache.ts";

/** Tables that this VM has read from the store, and their changes. */
export interface RelaySource {
    /** Returns the table if this VM relays it; otherwise undefined. */
    readonly find: (table: string) => TableCache | undefined;
    /** Whether it is not decided yet if this VM relays the table, or it has not been read yet. */
    readonly isLoading: (table: string) => boolean;
    /** Resolves when any table has changed, at the latest after `waitMs`. */
    readonly waitForChange: (waitMs: number) => Promise<void>;
}

/** Connections beyond this number are refused, so that callers keep their descriptors. */
const MAXIMUM_CONNECTIONS = 500;

/** Answers other VMs' reads of the store's tables. */
export class RelayServer {
    private constructor(private readonly server: Server) {}

    static create(
        address: { readonly host: string; readonly port: number; },
        source: RelaySource,
        nowMs: () => number,
        logger: ProcessLogger,
    ): RelayServer {
        const server = createServer(socket => RelayConnection.create(socket, source, nowMs, logger));
        server.maxConnections = MAXIMUM_CONNECTIONS;
        listenUntilBound(server, address, error => logger.error("the relay server of this VM does not listen", { reason: error.message }));
        return new RelayServer(server);
    }

    /** Port on which the server listens; undefined while it does not. */
    get port(): number | undefined {
        const address = this.server.address();
        return typeof address === "object" ? address?.port : undefined;
    }

    /** Whether the server listens. */
    get isListening(): boolean {
        return this.server.listening;
    }

    close(): void {
        this.server.close();
    }
}
