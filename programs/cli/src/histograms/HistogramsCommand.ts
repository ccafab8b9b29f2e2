import type { LatencySummary } from "@pomeloturn/histograms/LatencyHistograms";
import { Command, Option } from "clipanion";
import { callAll, callVm } from "../shared/callProcesses.ts";
import { ExitCode } from "../shared/ExitCode.ts";
import { formatTable } from "../shared/formatTable.ts";
import { OperatorCommand } from "../shared/OperatorCommand.ts";

/** `histograms [--json]` and `histograms --prometheus VM`: prints latencies per service, rank and proxy. */
export class HistogramsCommand extends OperatorCommand {
    static override paths = [["histograms"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Show the latencies of each service and rank at each proxy since the proxy started.",
    });

    readonly isJson = Option.Boolean("--json", false);
    readonly prometheusVm = Option.String("--prometheus", {
        description: "print the counters and latencies of this VM in the Prometheus text format",
    });

    protected async run(): Promise<number> {
        const { proxies, timeoutMs } = this.loadSettings();
        if (this.prometheusVm !== undefined) {
            this.print(await callVm<string>(proxies, this.prometheusVm, { command: "metrics" }, timeoutMs));
            return ExitCode.Ok;
        }
        const answers = await callAll<LatencySummary[]>(proxies, { command: "histograms" }, timeoutMs);
        answers.filter(({ error }) => error !== undefined).forEach(({ vm, error }) => this.context.stderr.write(`${vm}: ${error}\n`));
        const rows = answers.flatMap(({ vm, result }) => (result ?? []).map(summary => ({ vm, ...summary })));
        if (this.isJson) {
            this.printJson(rows);
        }
        else {
            this.print(formatTable(
                ["VM", "service", "rank", "requests", "p50 ms", "p99 ms", "max ms"],
                rows.map(({ vm, service, rank, count, p50Ms, p99Ms, maximumMs }) => [vm, service, rank, count, p50Ms, p99Ms, maximumMs]),
            ));
        }
        return answers.some(({ error }) => error !== undefined) ? ExitCode.OutcomeUnknown : ExitCode.Ok;
    }
}
