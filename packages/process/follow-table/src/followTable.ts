import type { StorePoint, StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { setTimeout as delay } from "node:timers/promises";

/** Options of `followTable`. */
export interface FollowOptions {
    readonly table: string;
    /** Longest wait of one call for changes. */
    readonly waitMs: number;
    /** Delay after rows have arrived, so that changes in quick succession are read together. */
    readonly batchDelayMs: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Ends `followTable` when it is aborted. */
    readonly signal: AbortSignal;
    /**
     * Called with all rows of the table, at the start and when the changes since the last point are not known.
     *
     * @param last point up to which the table was known; undefined at the start
     */
    readonly onSnapshot: (rows: readonly StoreRow[], point: StorePoint, last: StorePoint | undefined) => void;
    /** Called with the rows that have changed. */
    readonly onChanges: (rows: readonly StoreRow[], point: StorePoint) => void;
    /** Called with false and the error message when the store cannot be read, and with true when it can be read again. */
    readonly onReachabilityChange: (isReachable: boolean, reason: string) => void;
    /** Called with each error that `onSnapshot` or `onChanges` has thrown. The table is followed further from the same point. */
    readonly onUnexpectedError: (error: Error) => void;
}

/** Wait of the first call for changes after a failure: short, so that the return of the store is detected soon. */
const WAIT_AFTER_FAILURE_MS = 300;
const INITIAL_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 1_000;

const backoffMs = (failureCount: number): number => Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failureCount - 1));

/** Delay before the next call. The backoff counts from the start of the failed call, which may have run into its time limit. */
const retryDelayMs = (failureCount: number, callMs: number): number => Math.max(0, backoffMs(failureCount) - callMs);

/** Hands rows over. An error is not one of the store, and must neither end the following nor have the changes read again. */
const applyRows = (options: FollowOptions, apply: () => void): void => {
    try {
        apply();
    }
    catch (error) {
        options.onUnexpectedError(error as Error);
    }
};

/** Reads a table and then its changes until the signal is aborted. Retries with backoff while the store cannot be read. */
export const followTable = async (reader: TableReader, options: FollowOptions): Promise<void> => {
    const { table, waitMs, batchDelayMs, signal, nowMs } = options;
    let point: StorePoint | undefined;
    let last: StorePoint | undefined;
    let failureCount = 0;
    while (!signal.aborted) {
        const calledAtMs = nowMs();
        try {
            const answer: Awaited<ReturnType<TableReader["readChanges"]>> = point === undefined
                ? await reader.readTable(table)
                : await reader.readChanges(table, point, failureCount > 0 ? Math.min(waitMs, WAIT_AFTER_FAILURE_MS) : waitMs);
            if (failureCount > 0) {
                options.onReachabilityChange(true, "");
            }
            failureCount = 0;
            const isFull = point === undefined;
            point = answer === undefined ? undefined : { era: answer.era, version: answer.version };
            if (answer !== undefined && point !== undefined && (isFull || answer.rows.length > 0)) {
                const read: StorePoint = point;
                applyRows(options, () => isFull ? options.onSnapshot(answer.rows, read, last) : options.onChanges(answer.rows, read));
                await delay(batchDelayMs, undefined, { ref: false });
            }
            last = point ?? last;
        }
        catch (error) {
            failureCount++;
            if (failureCount === 1) {
                options.onReachabilityChange(false, (error as Error).message);
            }
            await delay(retryDelayMs(failureCount, nowMs() - calledAtMs), undefined, { ref: false });
        }
    }
};
