import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";

const WRITE_INTERVAL_MS = 10;

/**
 * Sends single writes over one session after the other.
 *
 * @param name prefix of the ids of the writes
 * @returns a function that ends the sending
 */
export const sendWrites = (port: number, name: string): () => void => {
    let isOver = false;
    const send = async (): Promise<void> => {
        let caller: LineCaller | undefined;
        for (let count = 0; !isOver; count++) {
            caller = caller === undefined || caller.isClosed ? await LineCaller.open(port, "writes") : caller;
            await caller?.run(`${name}-${count}`, "WRITE 1a4 x");
            await delay(WRITE_INTERVAL_MS);
        }
        caller?.close();
    };
    void send();
    return () => {
        isOver = true;
    };
};
