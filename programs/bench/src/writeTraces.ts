import { floodScenarios, generateTrace, traceScenarios } from "@pomeloturn/replay-trace/generateTrace";
import { replayDeployments } from "@pomeloturn/replay-trace/ReplayDeployment";
import { mkdirSync, writeFileSync } from "node:fs";

/** Seed of the traces that are stored in the repository. */
const SEED = 1;
const FOLDER = "traces";

/** Writes the traces of all deployments. @returns the number of lines of each file */
export const writeTraces = (): Record<string, number> => {
    const lineCounts: Record<string, number> = {};
    for (const deployment of replayDeployments) {
        mkdirSync(`${FOLDER}/${deployment.name}`, { recursive: true });
        for (const scenario of [...traceScenarios, ...floodScenarios]) {
            const lines = generateTrace(deployment, scenario, SEED);
            const file = `${FOLDER}/${deployment.name}/${scenario.name}.jsonl`;
            writeFileSync(file, lines.map(line => `${JSON.stringify(line)}\n`).join(""));
            lineCounts[file] = lines.length;
        }
    }
    return lineCounts;
};
