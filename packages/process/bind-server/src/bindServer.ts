import { type Server, ServerCredentials } from "@grpc/grpc-js";

/**
 * Starts a gRPC server on a TCP address.
 *
 * @param port 0 for a port that is free
 * @returns the port that was bound
 * @throws the library's error when the address cannot be bound
 */
export const bindServer = (server: Server, host: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
            if (error === null) {
                resolve(boundPort);
            }
            else {
                reject(error);
            }
        });
    });
