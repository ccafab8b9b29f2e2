import { type Server, ServerCredentials } from "@grpc/grpc-js";

/**
 * Binds a gRPC server to a TCP address, without TLS.
 *
 * @param port port number; 0 for any free port
 * @returns the port that was bound
 * @throws the gRPC library's error when the address cannot be bound
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
