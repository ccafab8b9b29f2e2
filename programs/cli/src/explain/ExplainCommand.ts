import type { StatementExplanation } from "@pomeloturn/types/StatementExplanation";
import { Command, Option } from "clipanion";
import { callFirstReachable, callVm } from "../shared/callProcesses.ts";
import { formatTable } from "../shared/formatTable.ts";
import { OperatorCommand } from "../shared/OperatorCommand.ts";

/** `explain SERVICE SQL`: shows to which instance a proxy would send a statement now, and why. */
export class ExplainCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Show to which instance a statement would be sent now, and why. The statement is not executed.",
        details:
            "The options correspond to the attributes of a caller's session. Attributes in a trailing comment of the statement apply too.",
    });

    readonly service = Option.String();
    readonly sql = Option.String();
    readonly vm = Option.String("--vm", { description: "VM whose proxy is asked; by default the first that answers" });
    readonly token = Option.String("--token", { description: "session token of the caller, or \"new\" for a new session" });
    readonly rank = Option.String("--rank");
    readonly readKind = Option.String("--read-kind");
    readonly key = Option.String("--key");
    readonly isJson = Option.Boolean("--json", false);

    protected async run(): Promise<void> {
        const { proxies, timeoutMs } = this.loadSettings();
        const { service, sql, token, rank, readKind, key } = this;
        const callArguments = Object.entries({ service, sql, token, rank, readKind, key }).filter(([, value]) => value !== undefined);
        const call = { command: "explain", arguments: Object.fromEntries(callArguments) as Record<string, string> };
        const explanation = this.vm === undefined
            ? await callFirstReachable<StatementExplanation>(proxies, call, timeoutMs)
            : await callVm<StatementExplanation>(proxies, this.vm, call, timeoutMs);
        if (this.isJson) {
            this.printJson(explanation);
            return;
        }
        this.print(formatExplanation(explanation));
    }
}

const formatExplanation = (explanation: StatementExplanation): string => {
    const { statementClass, rank, group, instance, vm, reason, requiredPosition, maximumAgeMs, instances } = explanation;
    const requirements = [
        ...(requiredPosition.term === 0 ? [] : [`position ${requiredPosition.position} of term ${requiredPosition.term}`]),
        ...(maximumAgeMs === 0 ? [] : [`an age of at most ${maximumAgeMs} ms`]),
    ];
    return [
        `class ${statementClass}, rank ${rank}, group ${group}`,
        `requires ${requirements.length === 0 ? "nothing of the data" : requirements.join(" and ")}`,
        `goes to ${instance}, held by ${vm}: ${reason}`,
        formatTable(
            ["instance", "failure domain", "holder", "replayed", "outcome"],
            Object.entries(instances).map(([name, { failureDomain, holder, isPrimary, isChosen, refusal, status }]) => [
                isPrimary ? `${name} (primary)` : name,
                failureDomain,
                holder,
                status === undefined ? undefined : `${status.replayed.term}/${status.replayed.position}`,
                isChosen ? "chosen" : refusal ?? "could serve",
            ]),
        ),
    ].join("\n");
};
