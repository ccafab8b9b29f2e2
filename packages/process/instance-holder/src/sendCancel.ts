import type { CancelKey } from "@pomeloturn/backend-connection/BackendConnection";
import { createConnection } from "node:net";
import { serialize } from "pg-protocol";

const CANCEL_TIMEOUT_MS = 3_000;

/** Asks a backend server to cancel what a connection runs. There is no answer; a failure leaves the statement running. */
export const sendCancel = (host: string, port: number, { processId, secretKey }: CancelKey): void => {
    const socket = createConnection({ host, port });
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => socket.destroy());
    socket.on("error", () => socket.destroy());
    socket.on("connect", () => socket.end(serialize.cancel(processId, secretKey)));
    socket.resume();
};
