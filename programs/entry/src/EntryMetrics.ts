import type { LatencyHistograms } from "@pomeloturn/histograms/LatencyHistograms";
import { Counters } from "@pomeloturn/logger/Counters";
import type { PaceSummary } from "@pomeloturn/service-directory/InstancePacing";

/** Delay before the histogram library is loaded, so that a restarted VM serves callers first. */
const LOAD_DELAY_MS = 3_000;

interface Latency {
    readonly service: string;
    readonly rank: string;
    readonly latencyMs: number;
}

/** Counters and latency histograms of the process. */
export class EntryMetrics {
    readonly counters = Counters.create();
    private histograms: LatencyHistograms | undefined;
    /** Latencies that were recorded before the histogram library was loaded. */
    private readonly pendingLatencies: Latency[] = [];

    private constructor(private readonly listPaces: () => readonly PaceSummary[]) {}

    static create(listPaces: () => readonly PaceSummary[] = () => []): EntryMetrics {
        const metrics = new EntryMetrics(listPaces);
        setTimeout(() => void metrics.loadHistograms(), LOAD_DELAY_MS).unref();
        return metrics;
    }

    recordLatency(service: string, rank: string, latencyMs: number): void {
        if (this.histograms === undefined) {
            this.pendingLatencies.push({ service, rank, latencyMs });
        }
        else {
            this.histograms.record(service, rank, latencyMs);
        }
    }

    /** Formats all metrics in the Prometheus text format. */
    async format(): Promise<string> {
        const { formatMetrics } = await import("@pomeloturn/histograms/formatMetrics");
        return formatMetrics(this.counters.snapshot(), (await this.loadHistograms()).summarize(), this.listPaces());
    }

    private async loadHistograms(): Promise<LatencyHistograms> {
        const { LatencyHistograms: loaded } = await import("@pomeloturn/histograms/LatencyHistograms");
        const histograms = this.histograms ?? loaded.create();
        this.histograms = histograms;
        this.pendingLatencies.splice(0).forEach(({ service, rank, latencyMs }) => histograms.record(service, rank, latencyMs));
        return histograms;
    }
}
