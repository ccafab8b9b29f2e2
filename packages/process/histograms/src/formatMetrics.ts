import { Counter, Gauge, Registry } from "prom-client";
import type { LatencySummary } from "./LatencyHistograms.ts";

/** Pace of an instance. */
export interface PaceMetrics {
    readonly service: string;
    readonly instance: string;
    readonly window: number;
    readonly refusalCount: number;
    readonly lossCount: number;
}

/** Characters that are not allowed in the name of a metric. */
const INVALID_CHARACTERS = /[^A-Za-z0-9_]/g;

type QuantileField = "p50Ms" | "p99Ms";

const QUANTILES: readonly (readonly [quantile: string, field: QuantileField])[] = [["0.5", "p50Ms"], ["0.99", "p99Ms"]];

/** Formats counters and latencies in the Prometheus text format. */
export const formatMetrics = (
    counters: Readonly<Record<string, number>>,
    latencies: readonly LatencySummary[],
    paces: readonly PaceMetrics[] = [],
): Promise<string> => {
    const registry = new Registry();
    for (const [name, value] of Object.entries(counters)) {
        new Counter({
            name: `pomeloturn_${name.replace(INVALID_CHARACTERS, "_")}_total`,
            help: `Counter ${name} of the process.`,
            registers: [registry],
        }).inc(value);
    }
    addLatencies(registry, latencies);
    if (paces.length > 0) {
        addPaces(registry, paces);
    }
    return registry.metrics();
};

const addPaces = (registry: Registry, paces: readonly PaceMetrics[]): void => {
    const registers = [registry];
    const labelNames = ["service", "instance"];
    const window = new Gauge({
        name: "pomeloturn_pace_window",
        help: "Attempts that this VM may have in flight at an instance; below 1 a fraction of time, +Inf without a limit.",
        labelNames,
        registers,
    });
    const refusals = new Counter({ name: "pomeloturn_pace_refusals_total", help: "Refusals by an instance.", labelNames, registers });
    const losses = new Counter({
        name: "pomeloturn_pace_losses_total",
        help: "Lost connections, failed openings and statements without an answer, by instance.",
        labelNames,
        registers,
    });
    for (const pace of paces) {
        const labels = { service: pace.service, instance: pace.instance };
        window.set(labels, pace.window);
        refusals.inc(labels, pace.refusalCount);
        losses.inc(labels, pace.lossCount);
    }
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
