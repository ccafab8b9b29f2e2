import type { StorePoint } from "@pomeloturn/types/StoreRow";

/** Returns whether two points are the same moment of the same era. */
export const isSamePoint = (a: StorePoint, b: StorePoint): boolean => a.era === b.era && a.version === b.version;
