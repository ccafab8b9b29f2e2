import type { StoreRow, TableReader } from "@pomeloturn/types/StoreRow";
import { setTimeout as delay } from "node:timers/promises";

/** How a table is followed. */
export interface FollowOptions {
    readonly table: string;
    /** Longest wait of one call; also how long a connection that has gone silent stays unnoticed. */
    readonly waitMs: number;
    /** Pause after a change, so that changes in quick succession are read together. */
    readonly settleMs: number;
    /** Stops the following. */
    readonly signal: AbortSignal;
    /** Takes all rows of the table. */
    readonly onAll: (rows: readonly StoreRow[]) => void;
    /** Takes the rows that have changed. */
    readonly onChanged: (rows: readonly StoreRow[]) => void;
    /** Told when the store cannot be read, and when it can be again. */
    readonly onReachable: (isReachable: boolean, reason: string) => void;
}

/** Wait of a call after a failure: while the store answers nobody, the next call is to notice its return soon. */
const CAUTIOUS_WAIT_MS = 300;
const FIRST_PAUSE_MS = 250;
const MAXIMUM_PAUSE_MS = 1_000;

const pauseAfter = (failureCount: number): number => Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failureCount - 1));

/** Follows a table until the signal is aborted. */
export const followTable = async (reader: TableReader, options: FollowOptions): Promise<void> => {
    const { table, waitMs, settleMs, signal } = options;
    let version: number | undefined;
    let failureCount = 0;
    while (!signal.aborted) {
        try {
            const answer: Awaited<ReturnType<TableReader["readChanges"]>> = version === undefined
                ? await reader.readTable(table)
                : await reader.readChanges(table, version, failureCount > 0 ? Math.min(waitMs, CAUTIOUS_WAIT_MS) : waitMs);
            if (failureCount > 0) {
                options.onReachable(true, "");
            }
            failureCount = 0;
            const isFull = version === undefined;
            version = answer?.version;
            if (answer !== undefined && (isFull || answer.rows.length > 0)) {
                (isFull ? options.onAll : options.onChanged)(answer.rows);
                await delay(settleMs, undefined, { ref: false });
            }
        }
        catch (error) {
            failureCount++;
            if (failureCount === 1) {
                options.onReachable(false, (error as Error).message);
            }
            await delay(pauseAfter(failureCount), undefined, { ref: false });
        }
    }
};
