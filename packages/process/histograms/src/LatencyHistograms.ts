import { build, type Histogram } from "hdr-histogram-js";

const HIGHEST_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Latency of one rank of a service. */
export interface LatencySummary {
    readonly service: string;
    readonly rank: string;
    readonly count: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maximumMs: number;
}

interface HistogramEntry {
    readonly service: string;
    readonly rank: string;
    readonly histogram: Histogram;
}

/** Latency histograms by service and rank. */
export class LatencyHistograms {
    private readonly entries = new Map<string, HistogramEntry>();

    private constructor() {}

    static create(): LatencyHistograms {
        return new LatencyHistograms();
    }

    record(service: string, rank: string, latencyMs: number): void {
        this.findOrCreate(service, rank).histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MILLISECOND)));
    }

    summarize(): LatencySummary[] {
        return [...this.entries.values()].map(({ service, rank, histogram }) => ({
            service,
            rank,
            count: histogram.totalCount,
            p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
            p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
            maximumMs: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
        }));
    }

    private findOrCreate(service: string, rank: string): HistogramEntry {
        const key = `${service}\n${rank}`;
        const known = this.entries.get(key);
        if (known !== undefined) {
            return known;
        }
        const histogram = build({
            bitBucketSize: 32,
            autoResize: true,
            highestTrackableValue: HIGHEST_LATENCY_US,
            numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        });
        const entry = { service, rank, histogram };
        this.entries.set(key, entry);
        return entry;
    }
}
