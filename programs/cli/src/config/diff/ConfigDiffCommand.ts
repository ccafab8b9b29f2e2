import { diffFiles, formatChange } from "@pomeloturn/config-version/diffFiles";
import { Command, Option } from "clipanion";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readFolder } from "../../shared/readFolder.ts";
import { readHead, readHeadFiles } from "../../shared/readHead.ts";

/** `config diff DIR`: shows the values that differ from the active version. */
export class ConfigDiffCommand extends OperatorCommand {
    static override paths = [["config", "diff"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show each value of a folder that differs from the active version.",
    });

    readonly folder = Option.String();

    protected async run(): Promise<void> {
        const platform = this.createPlatformClient(this.loadSettings());
        const { head } = await readHead(platform);
        const changes = diffFiles(await readHeadFiles(platform, head), readFolder(this.folder));
        changes.forEach(change => this.print(formatChange(change)));
        this.print(`${changes.length} values differ from version ${head.version}`);
    }
}
