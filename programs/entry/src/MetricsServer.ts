import { listenUntilBound } from "@pomeloturn/bind-server/listenUntilBound";
import { createServer } from "node:http";
import type { EntryMetrics } from "./EntryMetrics.ts";

const METRICS_PATH = "/metrics";
const STATUS_NOT_FOUND = 404;

/** HTTP server of the metrics in the Prometheus text format. */
export class MetricsServer {
    private constructor() {}

    static create(
        address: { readonly host: string; readonly port: number; },
        metrics: EntryMetrics,
        onError: (error: Error) => void,
    ): MetricsServer {
        const server = createServer((request, response) => {
            if (request.url !== METRICS_PATH) {
                response.statusCode = STATUS_NOT_FOUND;
                response.end();
                return;
            }
            void metrics.format().then(text => response.end(text));
        });
        listenUntilBound(server, address, onError);
        return new MetricsServer();
    }
}
