import { NO_TEAM } from "@pomeloturn/authenticate-caller/identifyCaller";
import type { Operation } from "./Operation.ts";
import type { RunnerPorts } from "./RunnerPorts.ts";

/** Longest time to wait that a caller is told: a limit of 0 never has room, but a newer configuration may raise it. */
const MAXIMUM_RETRY_AFTER_MS = 60_000;

/**
 * Asks for one operation of the caller's team.
 *
 * @returns undefined if it may be sent; else the time after which the caller may retry, in milliseconds
 */
export const requestAllowance = async ({ identity }: Operation, { takeAllowance }: RunnerPorts): Promise<number | undefined> => {
    if (takeAllowance === undefined || identity === NO_TEAM) {
        return undefined;
    }
    const decision = await takeAllowance(identity);
    return decision.isGranted ? undefined : Math.min(decision.retryAfterMs, MAXIMUM_RETRY_AFTER_MS);
};
