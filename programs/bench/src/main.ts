import { routingTable } from "./routingTable.ts";
import { writeTraces } from "./writeTraces.ts";

type Measurement = () => unknown;

const measurements: Readonly<Record<string, Measurement>> = {
    routing: routingTable,
    writeTraces,
};

/** Runs the named measurement and prints it as JSON. */
const main = (): void => {
    const name = process.argv[2] ?? "";
    const measurement = measurements[name];
    if (measurement === undefined) {
        process.stderr.write(`usage: bench ${Object.keys(measurements).join(" | ")}\n`);
        process.exitCode = 1;
        return;
    }
    process.stdout.write(`${JSON.stringify(measurement(), undefined, 4)}\n`);
};

main();
