import { recordAttempt, waitBeforeAttemptMs } from "@pomeloturn/pace-attempts/AttemptPace";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sleep } from "./timing.ts";

/**
 * Waits until the pacing of an instance that reported itself busy allows the statement. If that is later than the
 * statement may wait, its waiting time ends at once.
 *
 * @returns whether the statement may be sent now
 */
export const waitForPacing = async (instance: InstanceRuntime, operation: Operation, ports: RunnerPorts): Promise<boolean> => {
    const { rank } = operation.route;
    for (;;) {
        const nowMs = ports.nowMs();
        const waitMs = waitBeforeAttemptMs(instance.pace, rank, nowMs);
        if (waitMs === 0) {
            recordAttempt(instance.pace, rank, nowMs);
            return true;
        }
        if (operation.isDone || nowMs + waitMs > operation.sendDeadlineAtMs) {
            operation.sendDeadlineAtMs = Math.min(operation.sendDeadlineAtMs, nowMs);
            return false;
        }
        await sleep(waitMs);
    }
};

/** Applies `waitForPacing` to the primary. Returns true at once when no primary is known. */
export const waitForLeaderPacing = (operation: Operation, ports: RunnerPorts): Promise<boolean> => {
    const { leader } = operation.service;
    return leader === undefined ? Promise.resolve(true) : waitForPacing(leader, operation, ports);
};
