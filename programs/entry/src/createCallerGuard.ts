import { deriveCallerLimits } from "@pomeloturn/caller-limits/CallerLimits";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { LineRateLimiter } from "@pomeloturn/logger/LineRateLimiter";
import type { PlatformSettings } from "@pomeloturn/platform/PlatformSettings";
import { readFileSync } from "node:fs";
import { CallerGuard } from "./CallerGuard.ts";
import { collectGarbage } from "./collectGarbage.ts";
import type { EntryMetrics } from "./EntryMetrics.ts";

const MS_PER_S = 1_000;
const MAXIMUM_LINES_PER_SECOND = 1;

/** Memory of the smallest machine, for deployments that do not state it. */
const DEFAULT_MEMORY_MB = 200;
const DEFAULT_DESCRIPTORS = 1_024;

/** @returns the number of descriptors that the operating system allows this process */
const readDescriptorLimit = (): number => {
    try {
        const limit = Number(/^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1]);
        return limit > 0 ? limit : DEFAULT_DESCRIPTORS;
    }
    catch {
        // The file exists on Linux only.
        return DEFAULT_DESCRIPTORS;
    }
};

const toMs = (seconds: number | undefined): number | undefined => seconds === undefined ? undefined : seconds * MS_PER_S;

/** Creates the guard that applies the limits of the settings to all callers, counts and logs who met one. */
export const createCallerGuard = (
    settings: PlatformSettings,
    metrics: EntryMetrics,
    logger: ProcessLogger,
    nowMs: () => number,
): CallerGuard => {
    const rateLimiter = LineRateLimiter.create(MAXIMUM_LINES_PER_SECOND);
    const resources = {
        memoryMb: settings.memoryMb ?? DEFAULT_MEMORY_MB,
        descriptors: settings.descriptorLimit ?? readDescriptorLimit(),
    };
    const limits = deriveCallerLimits(resources, {
        heldBytes: settings.callerBytes,
        connections: settings.callerConnections,
        unfinishedMessageMs: toMs(settings.unfinishedMessageS),
        unreadAnswersMs: toMs(settings.unreadAnswersS),
    });
    return CallerGuard.create({
        limits,
        nowMs,
        collectGarbage,
        onLimited: (limit, use) => {
            metrics.counters.add(`callers_limited_${limit}`);
            const droppedLines = rateLimiter.tryAcquire(nowMs());
            if (droppedLines !== undefined) {
                logger.warn("a caller was refused or closed at a limit", { limit, ...use, droppedLines });
            }
        },
    });
};
