import { build } from "hdr-histogram-js";
import type { DemoCaller } from "../DemoCaller.ts";
import type { DemoDeployment } from "../DemoDeployment.ts";
import type { DemoStep } from "../DemoStep.ts";

const FLOOD_CALLER_COUNT = 60;
const DURATION_MS = 4_000;
const URGENT_TARGET_LATENCY_MS = 100;
const URGENT_QUANTILE = 0.99;
const URGENT_WRITE_INTERVAL_MS = 25;

const readUntil = async (caller: DemoCaller, endMs: number): Promise<{ served: number; refused: number; }> => {
    const counts = { served: 0, refused: 0 };
    while (performance.now() < endMs) {
        await caller.read("flood", "/*rank='notice'*/").then(() => counts.served++, () => counts.refused++);
    }
    return counts;
};

const connectFloodCallers = (deployment: DemoDeployment): Promise<DemoCaller[]> =>
    Promise.all(Array.from({ length: FLOOD_CALLER_COUNT }, (_each, index) => deployment.connect(index % 3)));

/** Overloads the primary with reads of the least urgent rank while a caller writes with the most urgent one. */
export const flood: DemoStep = {
    name: "flood",
    run: async deployment => {
        const callers = await connectFloodCallers(deployment);
        const editor = await deployment.connect(0);
        const histogram = build();
        const endMs = performance.now() + DURATION_MS;
        const floodReads = callers.map(caller => readUntil(caller, endMs));
        let failedCount = 0;
        for (let index = 0; performance.now() < endMs; index++) {
            const startedAtMs = performance.now();
            await editor.write(`filing-${index}`, "filed", "/*rank='filing'*/").catch(() => failedCount++);
            histogram.recordValue(Math.round(performance.now() - startedAtMs));
            await new Promise(resolve => setTimeout(resolve, URGENT_WRITE_INTERVAL_MS));
        }
        const counts = await Promise.all(floodReads);
        const servedCount = counts.reduce((sum, { served }) => sum + served, 0);
        const latencyMs = histogram.getValueAtPercentile(URGENT_QUANTILE * 100);
        return [
            {
                name: "the most urgent rank keeps its target in a flood",
                isHeld: latencyMs <= URGENT_TARGET_LATENCY_MS,
                detail: `p99 ${latencyMs} ms of ${histogram.totalCount}`,
            },
            { name: "no urgent request fails in a flood", isHeld: failedCount === 0, detail: `${failedCount} failed` },
            { name: "the flooding rank is still served", isHeld: servedCount > 0, detail: `${servedCount} served` },
        ];
    },
};
