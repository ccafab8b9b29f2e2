import type { CancelKey } from "@pomeloturn/backend-connection/BackendConnection";
import { createConnection } from "node:net";
import { serialize } from "pg-protocol";

const CANCEL_TIMEOUT_MS = 3_000;

/** Asks a backend server to cancel the statement of a connection. The server sends no answer; on failure the statement goes on running. */
export const sendCancel = (host: string, port: number, { processId, secretKey }: CancelKey): void => {
    const socket = createConnection({ host, port });
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => socket.destroy());
    socket.on("error", () => socket.destroy());
    socket.on("connect", () => socket.end(serialize.cancel(processId, secretKey)));
    socket.resume();
};
