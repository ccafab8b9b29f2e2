import { controlCost } from "./controlCost.ts";
import { decisionCost } from "./decisionCost.ts";
import { routingTable } from "./routingTable.ts";
import { statementCost } from "./statementCost.ts";
import { writeTraces } from "./writeTraces.ts";

type Measurement = () => unknown;

const measurements: Readonly<Record<string, Measurement>> = {
    control: controlCost,
    decisions: decisionCost,
    routing: routingTable,
    statements: statementCost,
    writeTraces,
};

/** Runs the measurement named by the first argument and prints its result as JSON. */
const main = async (): Promise<void> => {
    const name = process.argv[2] ?? "";
    const measurement = measurements[name];
    if (measurement === undefined) {
        process.stderr.write(`usage: bench ${Object.keys(measurements).join(" | ")}\n`);
        process.exitCode = 1;
        return;
    }
    process.stdout.write(`${JSON.stringify(await measurement(), undefined, 4)}\n`);
};

void main();
