import { build } from "hdr-histogram-js";
import { parentPort, workerData } from "node:worker_threads";
import pg from "pg";

/** What one load worker does. */
export interface LoadOrder {
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

/** What a load worker measured. */
export interface LoadReport {
    readonly count: number;
    readonly errorCount: number;
    readonly latenciesUs: readonly number[];
}

const KEY_COUNT = 100;
const PERCENTILES = [50, 99] as const;

const run = async (order: LoadOrder): Promise<void> => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    let errorCount = 0;
    const client = async (index: number): Promise<void> => {
        const connection = new pg.Client({ host: "127.0.0.1", ...order, options: "-c pomeloturn.token=new" });
        await connection.connect();
        const endAtMs = performance.now() + order.durationMs;
        for (let turn = 0; performance.now() < endAtMs; turn++) {
            const key = `${order.keyPrefix}-${index}-${turn % KEY_COUNT}`;
            const isWrite = (turn % 100) / 100 < order.writeShare;
            const startedAtMs = performance.now();
            const statement = isWrite
                ? "INSERT INTO entries (key, value) VALUES ($1, 'x') ON CONFLICT (key) DO UPDATE SET value = excluded.value"
                : "SELECT value FROM entries WHERE key = $1";
            await connection.query(statement, [key]).catch(() => errorCount++);
            histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * 1_000)));
        }
        await connection.end();
    };
    await Promise.all(Array.from({ length: order.connections }, (_each, index) => client(index)));
    const latenciesUs = PERCENTILES.map(each => histogram.getValueAtPercentile(each));
    parentPort?.postMessage({ count: histogram.totalCount, errorCount, latenciesUs } satisfies LoadReport);
};

void run(workerData as LoadOrder);
