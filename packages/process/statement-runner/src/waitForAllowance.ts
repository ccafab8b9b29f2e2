import { NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import { extendSendDeadline, type Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";
import { sleep } from "./timing.ts";

/** Longest time to wait that a caller is told: a limit of 0 never has room, but a newer configuration may raise it. */
const MAXIMUM_RETRY_AFTER_MS = 60_000;

/** Longest wait for a team's allowance, as shares of the statement's time limit and of the operation's target latency. */
const WAIT_SHARE = 0.3;
const TARGET_WAIT_SHARE = 0.5;

/**
 * Asks for one operation of the caller's team and waits until it may be sent.
 *
 * @returns undefined if it may be sent now; else the time after which the caller may retry, in milliseconds
 */
export const waitForAllowance = async (operation: Operation, { takeAllowance, nowMs }: RunnerPorts): Promise<number | undefined> => {
    const { identity, route: { timeoutMs, targetLatencyMs } } = operation;
    if (takeAllowance === undefined || identity === NO_TEAM) {
        return undefined;
    }
    const decision = await takeAllowance(identity, Math.min(WAIT_SHARE * timeoutMs, TARGET_WAIT_SHARE * targetLatencyMs));
    if (!decision.isGranted) {
        return Math.min(decision.retryAfterMs, MAXIMUM_RETRY_AFTER_MS);
    }
    if (decision.waitMs > 0) {
        await sleep(decision.waitMs);
    }
    extendSendDeadline(operation, nowMs());
    return undefined;
};
