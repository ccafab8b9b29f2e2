import type { LatencyHistograms } from "@pomeloturn/histograms/LatencyHistograms";
import { Counters } from "@pomeloturn/logger/Counters";

/** Time after the start at which the libraries are loaded: a VM that comes back serves before it measures. */
const LOAD_DELAY_MS = 3_000;

interface Latency {
    readonly service: string;
    readonly rank: string;
    readonly latencyMs: number;
}

/** Counters and latencies of the process. */
export class EntryMetrics {
    readonly counters = Counters.create();
    private histograms: LatencyHistograms | undefined;
    private readonly early: Latency[] = [];

    private constructor() {}

    static create(): EntryMetrics {
        const metrics = new EntryMetrics();
        setTimeout(() => void metrics.load(), LOAD_DELAY_MS).unref();
        return metrics;
    }

    recordLatency(service: string, rank: string, latencyMs: number): void {
        if (this.histograms === undefined) {
            this.early.push({ service, rank, latencyMs });
        }
        else {
            this.histograms.record(service, rank, latencyMs);
        }
    }

    /** All metrics in Prometheus' text form. */
    async format(): Promise<string> {
        const { formatMetrics } = await import("@pomeloturn/histograms/formatMetrics");
        return formatMetrics(this.counters.snapshot(), (await this.load()).summarize());
    }

    private async load(): Promise<LatencyHistograms> {
        const { LatencyHistograms: loaded } = await import("@pomeloturn/histograms/LatencyHistograms");
        const histograms = this.histograms ?? loaded.create();
        this.histograms = histograms;
        this.early.splice(0).forEach(({ service, rank, latencyMs }) => histograms.record(service, rank, latencyMs));
        return histograms;
    }
}
