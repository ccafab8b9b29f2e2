import type { StorePoint } from "@pomeloturn/types/StoreRow";

/** Whether the store was restored from an older copy since the last read. @param last point of the last read; undefined if there was none */
export const isRestoredSince = (last: StorePoint | undefined, { era }: StorePoint): boolean => last !== undefined && era > last.era;
