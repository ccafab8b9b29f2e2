import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { checkOutcome, type ExpectedOutcome } from "./checkOutcome.ts";
import { floodScenarios, generateTrace, traceScenarios } from "./generateTrace.ts";
import { replayDeployments } from "./ReplayDeployment.ts";
import { replayTrace } from "./replayTrace.ts";
import { RoutingPolicy } from "./routingPolicies.ts";
import type { TraceLine } from "./TraceLine.ts";

const SEED = 1;
const cases = replayDeployments.flatMap(deployment => [...traceScenarios, ...floodScenarios].map(scenario => ({ deployment, scenario })));

const readTrace = (file: string): TraceLine[] => readFileSync(file, "utf8").trim().split("\n").map(line => JSON.parse(line) as TraceLine);

describe.each(cases)("replay of $deployment.name $scenario.name", ({ deployment, scenario }) => {
    const base = `traces/${deployment.name}/${scenario.name}`;
    const trace = readTrace(`${base}.jsonl`);

    it("has a trace equal to the generator's output", () => {
        expect(generateTrace(deployment, scenario, SEED)).toEqual(trace);
    });

    it("meets the expected outcome", () => {
        const expected = JSON.parse(readFileSync(`${base}.outcome.json`, "utf8")) as ExpectedOutcome;
        expect(checkOutcome(replayTrace(deployment, trace, RoutingPolicy.ExpectedLatency, SEED), expected)).toEqual([]);
    });

    it("gives the same report on a second run", () => {
        const replay = (): unknown => replayTrace(deployment, trace, RoutingPolicy.ExpectedLatency, SEED);
        expect(replay()).toEqual(replay());
    });
});
