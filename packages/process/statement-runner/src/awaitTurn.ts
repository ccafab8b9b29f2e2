import { recordAttempt, waitBeforeAttemptMs } from "@pomeloturn/pace-attempts/AttemptPace";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sleep } from "./timing.ts";

/**
 * Waits for the statement's turn at an instance that was busy. A statement whose turn comes after its holding time
 * is not held any longer.
 *
 * @returns whether the statement may be sent now
 */
export const awaitTurn = async (instance: InstanceRuntime, operation: Operation, ports: RunnerPorts): Promise<boolean> => {
    const { rank } = operation.route;
    for (;;) {
        const nowMs = ports.nowMs();
        const waitMs = waitBeforeAttemptMs(instance.pace, rank, nowMs);
        if (waitMs === 0) {
            recordAttempt(instance.pace, rank, nowMs);
            return true;
        }
        if (operation.isDone || nowMs + waitMs > operation.holdUntilMs) {
            operation.holdUntilMs = Math.min(operation.holdUntilMs, nowMs);
            return false;
        }
        await sleep(waitMs);
    }
};

/** The same at the primary; a statement that knows none is not held back here. */
export const awaitLeaderTurn = (operation: Operation, ports: RunnerPorts): Promise<boolean> => {
    const { leader } = operation.service;
    return leader === undefined ? Promise.resolve(true) : awaitTurn(leader, operation, ports);
};
