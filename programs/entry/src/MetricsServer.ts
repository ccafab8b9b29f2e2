import { formatMetrics } from "@pomeloturn/histograms/formatMetrics";
import type { LatencyHistograms } from "@pomeloturn/histograms/LatencyHistograms";
import type { Counters } from "@pomeloturn/logger/Counters";
import { createServer } from "node:http";

const METRICS_PATH = "/metrics";
const STATUS_NOT_FOUND = 404;

/** Serves the process's counters and latencies as text. */
export class MetricsServer {
    private constructor() {}

    static create(
        address: { readonly host: string; readonly port: number; },
        counters: Counters,
        histograms: LatencyHistograms,
    ): MetricsServer {
        const server = createServer((request, response) => {
            if (request.url !== METRICS_PATH) {
                response.statusCode = STATUS_NOT_FOUND;
                response.end();
                return;
            }
            void formatMetrics(counters.snapshot(), histograms.summarize()).then(text => response.end(text));
        });
        server.listen(address.port, address.host);
        return new MetricsServer();
    }
}
