import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** The range is below the ephemeral ports of usual systems, so that no outgoing connection takes a port before it is used. */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
/** Number of ports that a process reserves together. It keeps the lowest one bound as a lock on the others. */
const BLOCK_PORT_COUNT = 100;
const MAXIMUM_ATTEMPTS = 1_000;

/** Ports of reserved blocks that have not been returned yet. */
const availablePorts: number[] = [];
/** Reservation of a block in progress, shared by concurrent callers. */
let pendingReservation: Promise<void> | undefined;

/**
 * Finds TCP ports of the loopback address that are currently free. Two processes never get the same port: each takes
 * its ports from blocks whose lowest port it keeps bound until it exits.
 *
 * @throws Error if no free block is found
 */
export const findPorts = async (count: number): Promise<number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = availablePorts.shift();
        if (port === undefined) {
            await (pendingReservation ??= reserveBlock().finally(() => pendingReservation = undefined));
        }
        else {
            const server = await tryListen(port);
            if (server !== undefined) {
                await new Promise(resolve => server.close(resolve));
                ports.push(port);
            }
        }
    }
    return ports;
};

const reserveBlock = async (): Promise<void> => {
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
        const firstPort = LOWEST_PORT + BLOCK_PORT_COUNT * randomInt((HIGHEST_PORT - LOWEST_PORT) / BLOCK_PORT_COUNT);
        const reservation = await tryListen(firstPort);
        if (reservation !== undefined) {
            reservation.unref();
            availablePorts.push(...Array.from({ length: BLOCK_PORT_COUNT - 1 }, (_each, index) => firstPort + 1 + index));
            return;
        }
    }
    throw new Error(
        `found no free block of ${BLOCK_PORT_COUNT} ports between ${LOWEST_PORT} and ${HIGHEST_PORT} in ${MAXIMUM_ATTEMPTS} attempts`,
    );
};

/** Listens on the port. Resolves to undefined if the port is in use. */
const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server: Server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
