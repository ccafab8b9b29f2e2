import { parseArgs } from "node:util";
import { DemoDeployment } from "./DemoDeployment.ts";
import type { DemoStep, Invariant } from "./DemoStep.ts";
import { drain } from "./steps/drain.ts";
import { failover } from "./steps/failover.ts";
import { flood } from "./steps/flood.ts";
import { laggingReplica } from "./steps/laggingReplica.ts";
import { roam } from "./steps/roam.ts";
import { writesAndReads } from "./steps/writesAndReads.ts";

const EXIT_FAILURE = 1;

const STEPS: readonly DemoStep[] = [writesAndReads, roam, laggingReplica, flood, failover, drain];

const runStep = async (step: DemoStep, deployment: DemoDeployment): Promise<readonly Invariant[]> => {
    try {
        return await step.run(deployment);
    }
    catch (error) {
        return [{ name: `${step.name} ends without an error`, isHeld: false, detail: (error as Error).message }];
    }
};

const formatInvariant = ({ name, isHeld, detail }: Invariant): string => `${isHeld ? "held" : "BROKEN"}: ${name} (${detail})`;

const main = async (): Promise<void> => {
    process.env["POMELOTURN_LOG"] ??= "off";
    const { values } = parseArgs({ options: { json: { type: "boolean", default: false } } });
    const print = (line: string): void => {
        if (!values.json) {
            process.stdout.write(`${line}\n`);
        }
    };
    const deployment = await DemoDeployment.create();
    const results: { step: string; invariants: readonly Invariant[]; }[] = [];
    for (const step of STEPS) {
        const invariants = await runStep(step, deployment);
        results.push({ step: step.name, invariants });
        print(`${step.name}: ${invariants.map(formatInvariant).join("; ")}`);
    }
    await deployment.close();
    const all = results.flatMap(({ invariants }) => invariants);
    const heldCount = all.filter(({ isHeld }) => isHeld).length;
    print(`${heldCount} of ${all.length} invariants held`);
    if (values.json) {
        process.stdout.write(`${JSON.stringify({ heldCount, brokenCount: all.length - heldCount, steps: results })}\n`);
    }
    process.exit(heldCount === all.length ? 0 : EXIT_FAILURE);
};

void main();
