import {
    createAttemptPace,
    recordAttempt as recordFixedAttempt,
    recordRefusal as recordFixedRefusal,
    recordSuccess,
    waitBeforeAttemptMs,
} from "@pomeloturn/pace-attempts/AttemptPace";
import { joinLine, type PacedLine, type PacedStatement, stepLine } from "@pomeloturn/server-pace/PacedLine";
import {
    createServerPace,
    recordAnswer,
    recordLoss,
    recordRefusal,
    recordStart,
    waitForAttemptMs,
} from "@pomeloturn/server-pace/ServerPace";
import { InstanceAnswer } from "./SimulatedInstance.ts";
import type { VirtualTime } from "./VirtualTime.ts";

/** Request that waits for its turn. */
export interface WaitingTurn extends PacedStatement {
    readonly onTurn: (isAllowed: boolean, retryAfterMs?: number) => void;
}

/** How a VM paces its attempts at the instance. */
export interface PacingRule {
    readonly queueTurn: (waiting: WaitingTurn, inFlightCount: () => number) => void;
    /** Records the answer to a statement, or the loss of its connection. */
    readonly recordReply: (answer: InstanceAnswer, sentAtMs: number, inFlightCount: number) => void;
    /** Records a failed opening. @returns the time before the pool opens another connection */
    readonly recordFailedOpening: (answer: InstanceAnswer, sentAtMs: number, inFlightCount: number, poolBackoffMs: number) => number;
    /** Records that the VM learns of a new instance, or of its restart. */
    readonly recordStart: (slotCount: number, vmCount: number) => void;
}

export type PacingRuleFactory = (time: VirtualTime, random: () => number) => PacingRule;

export const createUnpacedRule: PacingRuleFactory = () => ({
    queueTurn: ({ onTurn }) => onTurn(true),
    recordReply: () => {},
    recordFailedOpening: () => 0,
    recordStart: () => {},
});

/** The fixed backoff: `pace-attempts` for statements, and the pool's for openings. */
export const createFixedRule: PacingRuleFactory = (time, random) => {
    const pace = createAttemptPace();
    const queueTurn = (waiting: WaitingTurn): void => {
        const waitMs = waitBeforeAttemptMs(pace, waiting.rank, time.nowMs);
        if (waitMs === 0) {
            recordFixedAttempt(pace, waiting.rank, time.nowMs);
            waiting.onTurn(true);
        }
        else if (time.nowMs + waitMs > waiting.limitAtMs) {
            waiting.onTurn(false, waitMs);
        }
        else {
            time.after(waitMs, () => queueTurn(waiting));
        }
    };
    return {
        queueTurn,
        recordReply: answer => {
            if (answer === InstanceAnswer.Ok) {
                recordSuccess(pace);
            }
            else if (answer === InstanceAnswer.Busy) {
                recordFixedRefusal(pace, random(), time.nowMs);
            }
        },
        recordFailedOpening: (_answer, _sentAtMs, _inFlightCount, poolBackoffMs) => poolBackoffMs,
        recordStart: () => {},
    };
};

const URGENT_RANK = 0;

export const createServerPaceRule: PacingRuleFactory = (time, random) => {
    const pace = createServerPace();
    const line: PacedLine<WaitingTurn> = [];
    let checkNumber = 0;
    let countInFlight = (): number => 0;
    const step = (): void => {
        const { allowed, refused, recheckMs } = stepLine(line, pace, countInFlight(), time.nowMs);
        const number = ++checkNumber;
        if (recheckMs !== undefined) {
            time.after(recheckMs, () => {
                if (number === checkNumber) {
                    step();
                }
            });
        }
        allowed.forEach(({ onTurn }) => onTurn(true));
        refused.forEach(({ waiting, retryAfterMs }) => waiting.onTurn(false, retryAfterMs * (1 + random())));
    };
    const recordFailure = (answer: InstanceAnswer, sentAtMs: number, inFlightCount: number): void => {
        const attempt = { sentAtMs, inFlightCount, random: random() };
        (answer === InstanceAnswer.Lost ? recordLoss : recordRefusal)(pace, attempt, time.nowMs);
    };
    return {
        queueTurn: (waiting, inFlightCount) => {
            countInFlight = inFlightCount;
            joinLine(line, waiting);
            step();
        },
        recordReply: (answer, sentAtMs, inFlightCount) => {
            if (answer === InstanceAnswer.Ok) {
                recordAnswer(pace, time.nowMs - sentAtMs, time.nowMs);
            }
            else {
                recordFailure(answer, sentAtMs, inFlightCount);
            }
            time.after(0, step);
        },
        recordFailedOpening: (answer, sentAtMs, inFlightCount) => {
            recordFailure(answer, sentAtMs, inFlightCount);
            return waitForAttemptMs(pace, inFlightCount, URGENT_RANK, time.nowMs);
        },
        recordStart: (slotCount, vmCount) => recordStart(pace, slotCount, vmCount, random(), time.nowMs),
    };
};
