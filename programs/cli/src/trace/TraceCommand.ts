import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { ExitCode } from "../shared/ExitCode.ts";
import { parseLogLine, traceRequest } from "./traceRequest.ts";

const STANDARD_INPUT = 0;

/** `trace ID [FILE ...]`: prints the log lines of a request from the logs of all processes. */
export class TraceCommand extends Command {
    static override paths = [["trace"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Print the log lines of a request in order of time, with the events of its service shortly before.",
        details: "Reads the given files, or standard input if there are none.",
    });

    readonly requestId = Option.String({ required: true });
    readonly files = Option.Rest();

    override execute(): Promise<number> {
        const sources = this.files.length === 0 ? [STANDARD_INPUT] : this.files;
        const lines = sources.flatMap(source => readFileSync(source, "utf8").split("\n")).map(parseLogLine).filter(line =>
            line !== undefined
        );
        const traceLines = traceRequest(lines, this.requestId);
        if (traceLines.length === 0) {
            this.context.stderr.write(
                `no log line of request ${this.requestId} was found; successful requests are logged only as a sample\n`,
            );
            return Promise.resolve(ExitCode.NotRun);
        }
        for (const { atMs, process, event, details } of traceLines) {
            this.context.stdout.write(`${new Date(atMs).toISOString()} ${process} ${event} ${JSON.stringify(details)}\n`);
        }
        return Promise.resolve(ExitCode.Ok);
    }
}
