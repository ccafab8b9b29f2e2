import { Command, Option } from "clipanion";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readHead } from "../../shared/readHead.ts";

/** `config history`: lists the latest versions, newest first. */
export class ConfigHistoryCommand extends OperatorCommand {
    static override paths = [["config", "history"]];
    static override usage = Command.Usage({ category: "Configuration", description: "List the latest versions, newest first." });

    readonly isJson = Option.Boolean("--json", false);

    protected async run(): Promise<void> {
        const { history } = await readHead(this.createPlatformClient(this.loadSettings()));
        if (this.isJson) {
            this.printJson(history);
            return;
        }
        for (const { version, appliedAtMs, operator, changedFiles } of history) {
            this.print(`${version}  ${new Date(appliedAtMs).toISOString()}  ${operator}  ${changedFiles.join(", ")}`);
        }
    }
}
