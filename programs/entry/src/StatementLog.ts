import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { LineRateLimiter } from "@pomeloturn/logger/LineRateLimiter";
import type { StatementRecord } from "@pomeloturn/statement-runner/RunnerPorts";
import type { EntryMetrics } from "./EntryMetrics.ts";

/** Lines a second for statements that did not go as they should. */
const NOTABLE_LINES_PER_SECOND = 10;
/** One of this many plain successes gets a line. */
const PLAIN_SAMPLE = 500;
/** A statement that took longer gets a line. */
const SLOW_MS = 400;
const LATENCY_DIGITS = 1;

/** Counts statements, and writes a line for each that failed, was slow or was sent more than once. */
export class StatementLog {
    private readonly notable = LineRateLimiter.create(NOTABLE_LINES_PER_SECOND);
    private plainCount = 0;

    private constructor(private readonly logger: ProcessLogger, private readonly metrics: EntryMetrics) {}

    static create(logger: ProcessLogger, metrics: EntryMetrics): StatementLog {
        return new StatementLog(logger, metrics);
    }

    record(statement: StatementRecord, nowMs: number): void {
        const { service, rank, code, latencyMs, attempts } = statement;
        this.metrics.recordLatency(service, `rank-${rank}`, latencyMs);
        this.metrics.counters.add(code === ResultCode.Ok ? "statements_served" : `result-${code}`);
        const isPlain = code === ResultCode.Ok && attempts <= 1 && latencyMs < SLOW_MS;
        if (isPlain && this.plainCount++ % PLAIN_SAMPLE !== 0) {
            return;
        }
        const droppedLines = this.notable.tryAcquire(nowMs);
        if (droppedLines === undefined) {
            this.metrics.counters.add("log_lines_dropped");
            return;
        }
        const times = { latencyMs: Number(latencyMs.toFixed(LATENCY_DIGITS)), sampleAgeMs: Math.round(statement.sampleAgeMs) };
        this.logger.info("statement", { ...statement, ...times, droppedLines });
    }
}
