/** Unexpected errors of a process that no connection or request could be blamed for. */
export interface ErrorHistory {
    /** Monotonic times of the errors within `WINDOW_MS`, in milliseconds. */
    readonly occurredAtMs: number[];
}

/** What the process does after an unexpected error. */
export const AfterError = {
    GoOn: "goOn",
    /** Shut down gracefully, as the process's state may be damaged; the platform starts it again. */
    Drain: "drain",
} as const;
export type AfterError = typeof AfterError[keyof typeof AfterError];

const WINDOW_MS = 10_000;
const MAXIMUM_ERRORS = 20;

export const createErrorHistory = (): ErrorHistory => ({ occurredAtMs: [] });

/**
 * Decides what the process does after an unexpected error. One error, or one caller that causes some, does not end the
 * sessions of all others; a process that fails again and again starts anew.
 *
 * @param nowMs monotonic time in milliseconds
 */
export const decideAfterError = ({ occurredAtMs }: ErrorHistory, nowMs: number): AfterError => {
    occurredAtMs.push(nowMs);
    const firstInWindow = occurredAtMs.findIndex(time => nowMs - time < WINDOW_MS);
    occurredAtMs.splice(0, firstInWindow);
    return occurredAtMs.length > MAXIMUM_ERRORS ? AfterError.Drain : AfterError.GoOn;
};
