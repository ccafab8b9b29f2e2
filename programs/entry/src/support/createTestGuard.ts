import { type CallerLimits, deriveCallerLimits } from "@pomeloturn/caller-limits/CallerLimits";
import type { CallerLimit } from "@pomeloturn/caller-limits/CallerLoad";
import { CallerGuard } from "../CallerGuard.ts";

/** Creates a guard with the limits of a machine of ordinary size, except for those that are given. */
export const createTestGuard = (limits: Partial<CallerLimits> = {}, onLimited: (limit: CallerLimit) => void = () => {}): CallerGuard =>
    CallerGuard.create({
        limits: deriveCallerLimits({ memoryMb: 200, descriptors: 2_000 }, limits),
        nowMs: () => performance.now(),
        collectGarbage: () => undefined,
        onLimited,
    });
