import { build } from "hdr-histogram-js";
import type { DemoCaller } from "../DemoCaller.ts";
import type { DemoDeployment } from "../DemoDeployment.ts";
import type { DemoStep } from "../DemoStep.ts";

const FLOOD_CALLERS = 60;
const DURATION_MS = 4_000;
const URGENT_TARGET_MS = 100;
const URGENT_SHARE = 0.99;
const URGENT_INTERVAL_MS = 25;

const floodWith = async (caller: DemoCaller, endMs: number): Promise<{ served: number; refused: number; }> => {
    const counts = { served: 0, refused: 0 };
    while (performance.now() < endMs) {
        await caller.read("flood", "/*rank='notice'*/").then(() => counts.served++, () => counts.refused++);
    }
    return counts;
};

const connectAll = (deployment: DemoDeployment): Promise<DemoCaller[]> =>
    Promise.all(Array.from({ length: FLOOD_CALLERS }, (_each, index) => deployment.connect(index % 3)));

/** The least urgent rank floods the primary while filings go on. */
export const flood: DemoStep = {
    name: "flood",
    run: async deployment => {
        const callers = await connectAll(deployment);
        const editor = await deployment.connect(0);
        const histogram = build();
        const endMs = performance.now() + DURATION_MS;
        const floods = callers.map(caller => floodWith(caller, endMs));
        let failedCount = 0;
        for (let index = 0; performance.now() < endMs; index++) {
            const startedAtMs = performance.now();
            await editor.write(`filing-${index}`, "filed", "/*rank='filing'*/").catch(() => failedCount++);
            histogram.recordValue(Math.round(performance.now() - startedAtMs));
            await new Promise(resolve => setTimeout(resolve, URGENT_INTERVAL_MS));
        }
        const counts = await Promise.all(floods);
        const servedCount = counts.reduce((sum, { served }) => sum + served, 0);
        const latencyMs = histogram.getValueAtPercentile(URGENT_SHARE * 100);
        return [
            {
                name: "the most urgent rank keeps its target in a flood",
                isHeld: latencyMs <= URGENT_TARGET_MS,
                detail: `p99 ${latencyMs} ms of ${histogram.totalCount}`,
            },
            { name: "no urgent request fails in a flood", isHeld: failedCount === 0, detail: `${failedCount} failed` },
            { name: "the flooding rank is still served", isHeld: servedCount > 0, detail: `${servedCount} served` },
        ];
    },
};
