import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Below the ports that systems give to outgoing connections, so that none of these takes a port before it is used. */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
/** Ports that a process claims together; the first of them stays bound as the claim. */
const BLOCK_SIZE = 100;
const MAXIMUM_TRIES = 1_000;

/** Ports of claimed blocks that were not given out yet. */
const claimed: number[] = [];
/** The running claim of a block; callers at the same time wait for one claim. */
let claiming: Promise<void> | undefined;

/**
 * Finds TCP ports of the loopback address that are free at present. Another process gets none of them: each takes
 * its ports from blocks whose first port it keeps bound until it ends.
 */
export const findPorts = async (count: number): Promise<number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = claimed.shift();
        if (port === undefined) {
            await (claiming ??= claimBlock().finally(() => claiming = undefined));
        }
        else {
            const server = await bind(port);
            if (server !== undefined) {
                await new Promise(resolve => server.close(resolve));
                ports.push(port);
            }
        }
    }
    return ports;
};

const claimBlock = async (): Promise<void> => {
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
        const first = LOWEST_PORT + BLOCK_SIZE * randomInt((HIGHEST_PORT - LOWEST_PORT) / BLOCK_SIZE);
        const claim = await bind(first);
        if (claim !== undefined) {
            claim.unref();
            claimed.push(...Array.from({ length: BLOCK_SIZE - 1 }, (_each, index) => first + 1 + index));
            return;
        }
    }
    throw new Error(`no block of ${BLOCK_SIZE} ports between ${LOWEST_PORT} and ${HIGHEST_PORT} is free`);
};

/** Listens on the port; undefined if it is taken. */
const bind = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server: Server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
