import { build } from "hdr-histogram-js";
import { parentPort, workerData } from "node:worker_threads";
import pg from "pg";

/** Load that one worker generates: target, number of connections and duration. */
export interface LoadOptions {
    readonly port: number;
    readonly user: string;
    readonly password: string;
    readonly database: string;
    readonly connections: number;
    readonly durationMs: number;
    /** Share of statements that write, 0 to 1. */
    readonly writeShare: number;
    readonly keyPrefix: string;
}

/** Result of one worker. */
export interface LoadReport {
    readonly count: number;
    readonly errorCount: number;
    /** 50th and 99th percentile of the latency. */
    readonly latenciesUs: readonly number[];
}

const KEY_COUNT = 100;
const PERCENTILES = [50, 99] as const;

const run = async (load: LoadOptions): Promise<void> => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    let errorCount = 0;
    const runClient = async (index: number): Promise<void> => {
        const connection = new pg.Client({ host: "127.0.0.1", ...load, options: "-c pomeloturn.token=new" });
        await connection.connect();
        const endAtMs = performance.now() + load.durationMs;
        for (let statementIndex = 0; performance.now() < endAtMs; statementIndex++) {
            const key = `${load.keyPrefix}-${index}-${statementIndex % KEY_COUNT}`;
            const isWrite = (statementIndex % 100) / 100 < load.writeShare;
            const startedAtMs = performance.now();
            const statement = isWrite
                ? "INSERT INTO entries (key, value) VALUES ($1, 'x') ON CONFLICT (key) DO UPDATE SET value = excluded.value"
                : "SELECT value FROM entries WHERE key = $1";
            await connection.query(statement, [key]).catch(() => errorCount++);
            histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * 1_000)));
        }
        await connection.end();
    };
    await Promise.all(Array.from({ length: load.connections }, (_each, index) => runClient(index)));
    const latenciesUs = PERCENTILES.map(percentile => histogram.getValueAtPercentile(percentile));
    parentPort?.postMessage({ count: histogram.totalCount, errorCount, latenciesUs } satisfies LoadReport);
};

void run(workerData as LoadOptions);
