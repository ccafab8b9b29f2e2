import { RETURN_WINDOW_MS } from "./returnWindow.ts";

/** An outage of the store between two reads goes unnoticed, so they follow each other closely. */
const READ_INTERVAL_MS = 1_000;
const MAXIMUM_GAP_MS = 2 * READ_INTERVAL_MS;
const RETRY_DELAY_MS = 500;

/** A read of the complete listing of instances at the store. Times are monotonic milliseconds. */
export interface ListingRead {
    readonly sentAtMs: number;
    readonly answeredAtMs: number;
    /** Era of the store that answered. */
    readonly era: number;
    /** Number of suspensions of this VM so far. Its clock does not count their time. */
    readonly suspensions: number;
    /** Whether this VM knows each instance that the listing shows. */
    readonly isKnown: boolean;
}

/**
 * Decides when the listing shows all instances that are alive. Entries expire during an outage of the store and return
 * within `RETURN_WINDOW_MS` of its end. A process cannot tell how long ago that was, so a check counts from its own first
 * read, and starts again after a failed read, a restore of the store or a suspension of this VM. Times are monotonic milliseconds.
 */
export class ListingCheck {
    private readableSinceMs: number | undefined;
    private lastAnsweredAtMs = -Infinity;
    private era = 0;
    private suspensions = 0;
    private nextReadAtMs = -Infinity;
    private verifiedMs: number | undefined;
    private hasFailed = false;

    private constructor() {}

    static create(): ListingCheck {
        return new ListingCheck();
    }

    /** Start of the last complete check. An instance that was removed from the listing before and has not returned is gone. */
    get verifiedFromMs(): number | undefined {
        return this.verifiedMs;
    }

    /**
     * Whether the listing has to be read now. Until the outcome is recorded, no further read is due.
     *
     * @param isNeeded whether it matters now which instances are alive
     */
    takeDueRead(isNeeded: boolean, nowMs: number): boolean {
        const isDue = isNeeded && nowMs >= this.nextReadAtMs;
        if (isDue) {
            this.nextReadAtMs = Infinity;
        }
        return isDue;
    }

    /** Records a read that the store has answered. @returns whether it completes a check */
    recordRead({ sentAtMs, answeredAtMs, era, suspensions, isKnown }: ListingRead): boolean {
        const isInterrupted = era !== this.era || suspensions !== this.suspensions || sentAtMs - this.lastAnsweredAtMs > MAXIMUM_GAP_MS;
        if (this.readableSinceMs === undefined || isInterrupted) {
            this.readableSinceMs = answeredAtMs;
            this.era = era;
            this.suspensions = suspensions;
        }
        this.hasFailed = false;
        this.lastAnsweredAtMs = answeredAtMs;
        this.nextReadAtMs = answeredAtMs + READ_INTERVAL_MS;
        const isComplete = isKnown && sentAtMs - this.readableSinceMs >= RETURN_WINDOW_MS;
        if (isComplete) {
            this.verifiedMs = this.readableSinceMs;
            this.readableSinceMs = undefined;
        }
        return isComplete;
    }

    /** Records a read without an answer: the store may have been down. @returns whether it is the first one since the last answer */
    recordFailure(nowMs: number): boolean {
        const isFirst = !this.hasFailed;
        this.hasFailed = true;
        this.readableSinceMs = undefined;
        this.nextReadAtMs = nowMs + RETRY_DELAY_MS;
        return isFirst;
    }
}
