import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { ExitCode } from "../shared/ExitCode.ts";
import { parseLine, traceRequest } from "./traceRequest.ts";

const STANDARD_INPUT = 0;

/** `trace ID [FILE ...]`: the path of a request through the logs of all processes. */
export class TraceCommand extends Command {
    static override paths = [["trace"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Print a request's log lines in order, with what the processes learned about its service shortly before.",
        details: "Reads the named files, or standard input when none is named.",
    });

    readonly requestId = Option.String({ required: true });
    readonly files = Option.Rest();

    override execute(): Promise<number> {
        const sources = this.files.length === 0 ? [STANDARD_INPUT] : this.files;
        const lines = sources.flatMap(source => readFileSync(source, "utf8").split("\n")).map(parseLine).filter(line => line !== undefined);
        const found = traceRequest(lines, this.requestId);
        if (found.length === 0) {
            this.context.stderr.write(`no line of request ${this.requestId}; plain successes are sampled\n`);
            return Promise.resolve(ExitCode.NotRun);
        }
        for (const { atMs, process, event, details } of found) {
            this.context.stdout.write(`${new Date(atMs).toISOString()} ${process} ${event} ${JSON.stringify(details)}\n`);
        }
        return Promise.resolve(ExitCode.Ok);
    }
}
