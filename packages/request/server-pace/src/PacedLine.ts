import { intervalMs, isLimiting, recordAttempt, type ServerPace, waitForAttemptMs } from "./ServerPace.ts";

/** Statement that waits until the pace of an instance allows its attempt. */
export interface PacedStatement {
    readonly rank: number;
    /** Monotonic time until which the statement may wait, in milliseconds. */
    readonly limitAtMs: number;
}

/** Statements that wait for one instance: the most urgent rank first, then the oldest first. */
export type PacedLine<Waiting extends PacedStatement> = Waiting[];

/** What becomes of the waiting statements now. */
export interface LineStep<Waiting> {
    /** Statements whose attempts are made now. */
    readonly allowed: readonly Waiting[];
    /** Statements whose turn is expected after their limit, with the expected wait. */
    readonly refused: readonly { readonly waiting: Waiting; readonly retryAfterMs: number; }[];
    /** Time after which the line must be looked at again, in milliseconds; undefined when nothing waits. */
    readonly recheckMs: number | undefined;
}

/** Whether and when an attempt is allowed. */
export interface PaceDecision {
    readonly isAllowed: boolean;
    /** Expected wait, in milliseconds. */
    readonly waitMs: number;
}

/** Adds a statement behind those of its rank. */
export const joinLine = <Waiting extends PacedStatement>(line: PacedLine<Waiting>, waiting: Waiting): void => {
    const index = line.findIndex(({ rank }) => rank > waiting.rank);
    line.splice(index < 0 ? line.length : index, 0, waiting);
};

/**
 * Expected time for which `aheadCount` statements hold up the next one, if the instance answers them on time, so that the pace
 * doubles. A linear estimate refused statements that could still be served after a fault.
 */
const estimateAheadMs = (pace: ServerPace, aheadCount: number): number => intervalMs(pace) * Math.log2(1 + aheadCount);

/**
 * Decides whether the window allows an attempt.
 *
 * @param inFlightCount number of attempts in flight
 * @param aheadCount number of statements that wait before this one
 */
export const decidePace = (
    pace: ServerPace,
    inFlightCount: number,
    aheadCount: number,
    rank: number,
    nowMs: number,
): PaceDecision => {
    if (!isLimiting(pace, nowMs)) {
        return { isAllowed: true, waitMs: 0 };
    }
    const waitMs = waitForAttemptMs(pace, inFlightCount, rank, nowMs) + estimateAheadMs(pace, aheadCount);
    return { isAllowed: waitMs === 0, waitMs };
};

/** Returns the expected wait of a statement that would join the line now, in milliseconds. */
export const expectWaitMs = (
    line: PacedLine<PacedStatement>,
    pace: ServerPace,
    inFlightCount: number,
    rank: number,
    nowMs: number,
): number => decidePace(pace, inFlightCount, line.filter(other => other.rank <= rank).length, rank, nowMs).waitMs;

/** Takes from the line the statements whose attempts may be made now and those whose turn would come too late. */
export const stepLine = <Waiting extends PacedStatement>(
    line: PacedLine<Waiting>,
    pace: ServerPace,
    inFlightCount: number,
    nowMs: number,
): LineStep<Waiting> => {
    const allowed: Waiting[] = [];
    const refused: { waiting: Waiting; retryAfterMs: number; }[] = [];
    for (const waiting of [...line]) {
        const aheadCount = line.indexOf(waiting);
        const { isAllowed, waitMs } = decidePace(pace, inFlightCount + allowed.length, aheadCount, waiting.rank, nowMs);
        if (isAllowed) {
            recordAttempt(pace, nowMs);
            allowed.push(waiting);
            line.splice(aheadCount, 1);
        }
        else if (nowMs + waitMs > waiting.limitAtMs) {
            refused.push({ waiting, retryAfterMs: waitMs });
            line.splice(aheadCount, 1);
        }
    }
    const [first] = line;
    return {
        allowed,
        refused,
        recheckMs: first && Math.max(1, waitForAttemptMs(pace, inFlightCount + allowed.length, first.rank, nowMs)),
    };
};
