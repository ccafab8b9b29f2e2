import { createServer } from "node:net";

export const HOST = "127.0.0.1";

/** Finds free ports on the loopback address. */
export const findPorts = async count => {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise((resolve, reject) => {
            const server = createServer().on("error", reject).listen(0, HOST, () => resolve(server));
        })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

export const sleep = waitMs => new Promise(resolve => setTimeout(resolve, waitMs));
