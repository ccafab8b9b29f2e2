import { deriveCallerLimits } from "@pomeloturn/caller-limits/CallerLimits";
import { CallerGuard } from "../CallerGuard.ts";

/** Creates a guard with the limits of a machine of ordinary size. */
export const createTestGuard = (): CallerGuard =>
    CallerGuard.create({
        limits: deriveCallerLimits({ memoryMb: 200, descriptors: 2_000 }),
        nowMs: () => performance.now(),
        collectGarbage: () => undefined,
        onLimited: () => undefined,
    });
