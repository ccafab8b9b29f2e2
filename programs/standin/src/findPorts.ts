import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Below the ports that systems give to outgoing connections, so that none of these takes a port before it is used. */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
const MAXIMUM_TRIES = 1_000;

/** Ports that this process has found, so that none is found twice. */
const found = new Set<number>();

/** Finds TCP ports of the loopback address that are free at present. */
export const findPorts = async (count: number): Promise<number[]> => {
    const ports: number[] = [];
    for (let tries = 0; ports.length < count && tries < MAXIMUM_TRIES; tries++) {
        const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
        if (!found.has(port) && await isFree(port)) {
            found.add(port);
            ports.push(port);
        }
    }
    if (ports.length < count) {
        throw new Error(`found ${ports.length} of ${count} free ports`);
    }
    return ports;
};

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server: Server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
