import { createServer } from "node:net";

/** Finds TCP ports of the loopback address that are free at present. */
export const findPorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, listen));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

const listen = (): Promise<ReturnType<typeof createServer>> =>
    new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
