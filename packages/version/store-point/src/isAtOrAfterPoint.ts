import type { StorePoint } from "@pomeloturn/types/StoreRow";

/** Returns whether point `a` is at or after `b`. Each point of an era is after all points of earlier eras, whatever their versions. */
export const isAtOrAfterPoint = (a: StorePoint, b: StorePoint): boolean => a.era > b.era || (a.era === b.era && a.version >= b.version);
