import { expectWaitMs, joinLine, type PacedLine, type PacedStatement, stepLine } from "@pomeloturn/server-pace/PacedLine";
import {
    createServerPace,
    isLimiting,
    recordAnswer,
    recordAttempt,
    recordLoss,
    recordRefusal,
    recordStart,
    waitForAttemptMs,
} from "@pomeloturn/server-pace/ServerPace";

/** Clock and random numbers of the pacing of instances. */
export interface PacingPorts {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Random number from 0 to 1; seeded in tests. */
    readonly random: () => number;
}

/** Whether a statement may be sent. */
export type Turn =
    | { readonly isAllowed: true; }
    /** `retryAfterMs`: time after which the instance is expected to have room, in milliseconds. */
    | { readonly isAllowed: false; readonly retryAfterMs: number; };

/** Pace of an instance, for metrics. */
export interface PaceSummary {
    readonly service: string;
    readonly instance: string;
    /** Number of attempts that may be in flight; infinite while the window does not limit. */
    readonly window: number;
    readonly refusalCount: number;
    readonly lossCount: number;
}

interface WaitingTurn extends PacedStatement {
    readonly isDone: () => boolean;
    readonly resolve: (turn: Turn) => void;
}

const ALLOWED: Turn = { isAllowed: true };
const URGENT_RANK = 0;
const LOWEST_RANK = 2;

/** Paces the statements and connection openings of this VM at one instance, by how the instance answers. */
export class InstancePacing {
    private readonly pace = createServerPace();
    private readonly line: PacedLine<WaitingTurn> = [];
    private timer: NodeJS.Timeout | undefined;
    private countInFlight = (): number => 0;
    private isRetired = false;

    private constructor(private readonly ports: PacingPorts) {}

    static create(ports: PacingPorts): InstancePacing {
        return new InstancePacing(ports);
    }

    /** Sets the source of the number of attempts in flight, which the pool of the instance counts. */
    countWith(countInFlight: () => number): void {
        this.countInFlight = countInFlight;
    }

    /** Records that the instance is new, or has become the primary. */
    recordStart(slotCount: number, vmCount: number): void {
        recordStart(this.pace, slotCount, vmCount, this.ports.random(), this.ports.nowMs());
    }

    /**
     * Waits until a statement may be sent. One whose turn is expected after its limit is refused at once.
     *
     * @param limitAtMs monotonic time until which the statement may wait, in milliseconds
     * @param isDone whether the statement needs no turn any more
     */
    waitForTurn(rank: number, limitAtMs: number, isDone: () => boolean): Promise<Turn> {
        if (this.isRetired || (this.line.length === 0 && !isLimiting(this.pace, this.ports.nowMs()))) {
            return Promise.resolve(ALLOWED);
        }
        return new Promise(resolve => {
            joinLine(this.line, { rank, limitAtMs, isDone, resolve });
            this.step();
        });
    }

    /** Returns the expected wait of a new statement of the rank, in milliseconds. */
    expectWaitMs(rank: number): number {
        const nowMs = this.ports.nowMs();
        return isLimiting(this.pace, nowMs) ? expectWaitMs(this.line, this.pace, this.countInFlight(), rank, nowMs) : 0;
    }

    recordAnswer(latencyMs: number): void {
        recordAnswer(this.pace, latencyMs, this.ports.nowMs());
        this.step();
    }

    /** Records that the instance had no free place in its queue. @param sentAtMs monotonic time at which the attempt began, in milliseconds */
    recordRefusal(sentAtMs: number): void {
        recordRefusal(this.pace, this.describeFailure(sentAtMs), this.ports.nowMs());
    }

    /** Records that a connection was lost or did not answer. @param sentAtMs monotonic time at which the attempt began, in milliseconds */
    recordLoss(sentAtMs: number): void {
        recordLoss(this.pace, this.describeFailure(sentAtMs), this.ports.nowMs());
    }

    /** Records that a connection could not be opened. @returns the time before another one is opened, in milliseconds */
    recordFailedOpening(isExhausted: boolean, startedAtMs: number): number {
        if (isExhausted) {
            this.recordRefusal(startedAtMs);
        }
        else {
            this.recordLoss(startedAtMs);
        }
        return waitForAttemptMs(this.pace, this.countInFlight(), URGENT_RANK, this.ports.nowMs());
    }

    /** Whether a connection may be opened now that only finds out whether the instance answers again. */
    takeProbe(): boolean {
        const nowMs = this.ports.nowMs();
        const isAllowed = waitForAttemptMs(this.pace, this.countInFlight(), LOWEST_RANK, nowMs) === 0;
        if (isAllowed) {
            recordAttempt(this.pace, nowMs);
        }
        return isAllowed;
    }

    /** Ends all waiting. The pool of a retired instance gives its statements no connection, so that they look for another instance. */
    retire(): void {
        this.isRetired = true;
        clearTimeout(this.timer);
        this.line.splice(0).forEach(({ resolve }) => resolve(ALLOWED));
    }

    summarize(service: string, instance: string): PaceSummary {
        const { window, refusalCount, lossCount } = this.pace;
        const isLimited = isLimiting(this.pace, this.ports.nowMs());
        return { service, instance, window: isLimited ? window : Infinity, refusalCount, lossCount };
    }

    private describeFailure(sentAtMs: number): Parameters<typeof recordLoss>[1] {
        return { sentAtMs, inFlightCount: this.countInFlight(), random: this.ports.random() };
    }

    /** Ends the waiting of statements whose turn it is, of those that are done and of those whose turn would come too late. */
    private step(): void {
        if (this.line.length === 0) {
            return;
        }
        this.line.filter(({ isDone }) => isDone()).forEach(waiting => {
            this.line.splice(this.line.indexOf(waiting), 1);
            waiting.resolve({ isAllowed: false, retryAfterMs: 0 });
        });
        const { allowed, refused, recheckMs } = stepLine(this.line, this.pace, this.countInFlight(), this.ports.nowMs());
        clearTimeout(this.timer);
        this.timer = recheckMs === undefined ? undefined : setTimeout(() => this.step(), recheckMs);
        allowed.forEach(({ resolve }) => resolve(ALLOWED));
        refused.forEach(({ waiting, retryAfterMs }) =>
            waiting.resolve({ isAllowed: false, retryAfterMs: retryAfterMs * (1 + this.ports.random()) })
        );
    }
}
