import { decideAdmission } from "@pomeloturn/admit-waiting/decideAdmission";
import { recordAttempt, waitBeforeAttemptMs } from "@pomeloturn/pace-attempts/AttemptPace";
import type { InstancePacing } from "@pomeloturn/service-directory/InstancePacing";
import type { InstanceRuntime } from "@pomeloturn/service-directory/InstanceRuntime";
import type { Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sleep } from "./timing.ts";

/** Ends the waiting time of a statement that cannot be served within it, so that it is refused at once. */
const endWaiting = (operation: Operation, retryAfterMs: number, nowMs: number): void => {
    operation.sendDeadlineAtMs = Math.min(operation.sendDeadlineAtMs, nowMs);
    operation.retryAfterMs = retryAfterMs;
};

const waitForPacedTurn = async (pacing: InstancePacing, operation: Operation, limitAtMs: number, ports: RunnerPorts): Promise<boolean> => {
    const turn = await pacing.waitForTurn(operation.route.rank, limitAtMs, () => operation.isDone);
    if (!turn.isAllowed) {
        endWaiting(operation, turn.retryAfterMs, ports.nowMs());
    }
    return turn.isAllowed;
};

/** Time for which a statement may wait for a connection after its turn, so that both waits together end by `limitAtMs` where pacing is on. */
export const connectionWaitMs = ({ pacing }: InstanceRuntime, waitMs: number, limitAtMs: number, nowMs: number): number =>
    pacing === undefined ? waitMs : Math.max(1, limitAtMs - nowMs);

/**
 * Waits until the pacing of an instance that reported itself busy allows the statement to queue for a connection. If its
 * turn is expected later than the statement may wait, its waiting time ends at once.
 *
 * @param limitAtMs monotonic time until which the statement may wait, in milliseconds
 * @returns whether the statement may queue for a connection now
 */
export const waitForTurn = async (
    instance: InstanceRuntime,
    operation: Operation,
    limitAtMs: number,
    ports: RunnerPorts,
): Promise<boolean> => {
    const { rank } = operation.route;
    for (;;) {
        const nowMs = ports.nowMs();
        const leftMs = limitAtMs - nowMs;
        const admission = decideAdmission(instance.pool.estimateWaitMs(rank), leftMs, ports.random());
        if (!admission.isAdmitted) {
            endWaiting(operation, admission.retryAfterMs, nowMs);
            return false;
        }
        if (instance.pacing !== undefined) {
            return waitForPacedTurn(instance.pacing, operation, limitAtMs, ports);
        }
        const pacingMs = waitBeforeAttemptMs(instance.pace, rank, nowMs);
        if (pacingMs === 0) {
            recordAttempt(instance.pace, rank, nowMs);
            return true;
        }
        if (operation.isDone || pacingMs > leftMs) {
            endWaiting(operation, pacingMs, nowMs);
            return false;
        }
        await sleep(pacingMs);
    }
};

/** Applies `waitForTurn` to the primary. Returns true at once when no primary is known. */
export const waitForLeaderTurn = (operation: Operation, limitAtMs: number, ports: RunnerPorts): Promise<boolean> => {
    const { leader } = operation.service;
    return leader === undefined ? Promise.resolve(true) : waitForTurn(leader, operation, limitAtMs, ports);
};
