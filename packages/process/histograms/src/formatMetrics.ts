import { Counter, Gauge, Registry } from "prom-client";
import type { LatencySummary } from "./LatencyHistograms.ts";

/** Characters that are not allowed in the name of a metric. */
const INVALID_CHARACTERS = /[^A-Za-z0-9_]/g;

type QuantileField = "p50Ms" | "p99Ms";

const QUANTILES: readonly (readonly [quantile: string, field: QuantileField])[] = [["0.5", "p50Ms"], ["0.99", "p99Ms"]];

/** Formats counters and latencies in the Prometheus text format. */
export const formatMetrics = (counters: Readonly<Record<string, number>>, latencies: readonly LatencySummary[]): Promise<string> => {
    const registry = new Registry();
    for (const [name, value] of Object.entries(counters)) {
        new Counter({
            name: `pomeloturn_${name.replace(INVALID_CHARACTERS, "_")}_total`,
            help: `Counter ${name} of the process.`,
            registers: [registry],
        }).inc(value);
    }
    addLatencies(registry, latencies);
    return registry.metrics();
};

const addLatencies = (registry: Registry, latencies: readonly LatencySummary[]): void => {
    const registers = [registry];
    const labelNames = ["service", "rank"];
    const requests = new Counter({ name: "pomeloturn_rank_requests_total", help: "Requests that were answered.", labelNames, registers });
    const latency = new Gauge({
        name: "pomeloturn_latency_milliseconds",
        help: "Latency at the entry proxy since its start, by quantile.",
        labelNames: [...labelNames, "quantile"],
        registers,
    });
    const maximum = new Gauge({
        name: "pomeloturn_latency_maximum_milliseconds",
        help: "Largest latency since the start.",
        labelNames,
        registers,
    });
    for (const summary of latencies) {
        const labels = { service: summary.service, rank: summary.rank };
        requests.inc(labels, summary.count);
        maximum.set(labels, summary.maximumMs);
        QUANTILES.forEach(([quantile, field]) => latency.set({ ...labels, quantile }, summary[field]));
    }
};
