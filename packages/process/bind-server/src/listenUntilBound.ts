import type { Server } from "node:net";

const RETRY_DELAY_MS = 250;

/** Address to listen on, and the length of the queue of connections that are not accepted yet. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
    readonly backlog?: number;
}

/**
 * Listens on an address, and tries again while it is in use, as just after a restart.
 *
 * @param onError called with each error of the server
 */
export const listenUntilBound = (server: Server, address: ListenAddress, onError: (error: Error) => void): void => {
    server.on("error", error => {
        onError(error);
        if (!server.listening) {
            setTimeout(() => server.listen(address), RETRY_DELAY_MS).unref();
        }
    });
    server.listen(address);
};
