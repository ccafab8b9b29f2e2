import { LineCaller } from "@pomeloturn/platform/support/LineCaller";
import { setTimeout as delay } from "node:timers/promises";

const POLL_MS = 20;

/** Waits until a write to the database succeeds at the VM. @returns the time that it took, in milliseconds */
export const waitForService = async (callerPort: number, database: string, limitMs: number, key = ""): Promise<number> => {
    const startedAtMs = performance.now();
    for (let count = 0; performance.now() - startedAtMs < limitMs; count++) {
        const { caller } = await LineCaller.start(callerPort, database, key);
        const answer = await caller.run(`${database}-${callerPort}-${count}`, "WRITE 1a4 x");
        caller.close();
        if (answer.kind === "complete") {
            break;
        }
        await delay(POLL_MS);
    }
    return performance.now() - startedAtMs;
};
