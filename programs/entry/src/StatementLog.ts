import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ProcessLogger } from "@pomeloturn/logger/createLogger";
import { LineRateLimiter } from "@pomeloturn/logger/LineRateLimiter";
import type { StatementRecord } from "@pomeloturn/statement-runner/RunnerPorts";
import type { EntryMetrics } from "./EntryMetrics.ts";

/** Limit of lines per second. Further lines are dropped and counted. */
const MAXIMUM_LINES_PER_SECOND = 10;
/** One of this many fast successes is logged. */
const FAST_SUCCESS_SAMPLE_INTERVAL = 500;
/** Statements that take at least this long are logged. */
const SLOW_STATEMENT_MS = 400;
const LATENCY_DIGITS = 1;

/** Counts statements and logs each one that failed, was slow or was sent more than once, and a sample of the others. */
export class StatementLog {
    private readonly rateLimiter = LineRateLimiter.create(MAXIMUM_LINES_PER_SECOND);
    private fastSuccessCount = 0;

    private constructor(private readonly logger: ProcessLogger, private readonly metrics: EntryMetrics) {}

    static create(logger: ProcessLogger, metrics: EntryMetrics): StatementLog {
        return new StatementLog(logger, metrics);
    }

    /** Counts a session that was refused at its start. It has no line, as anyone can cause many of them. */
    recordRefusedStartup(code: number): void {
        this.metrics.counters.add(`startup_refused_${code}`);
    }

    record(statement: StatementRecord, nowMs: number): void {
        const { service, rank, code, latencyMs, attempts } = statement;
        this.metrics.recordLatency(service, `rank-${rank}`, latencyMs);
        this.metrics.counters.add(code === ResultCode.Ok ? "statements_served" : `result-${code}`);
        const isFastSuccess = code === ResultCode.Ok && attempts <= 1 && latencyMs < SLOW_STATEMENT_MS;
        if (isFastSuccess && this.fastSuccessCount++ % FAST_SUCCESS_SAMPLE_INTERVAL !== 0) {
            return;
        }
        const droppedLines = this.rateLimiter.tryAcquire(nowMs);
        if (droppedLines === undefined) {
            this.metrics.counters.add("log_lines_dropped");
            return;
        }
        const times = { latencyMs: Number(latencyMs.toFixed(LATENCY_DIGITS)), sampleAgeMs: Math.round(statement.sampleAgeMs) };
        this.logger.info("statement", { ...statement, ...times, droppedLines });
    }
}
