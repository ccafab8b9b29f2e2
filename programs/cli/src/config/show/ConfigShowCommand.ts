import { readPointer } from "@pomeloturn/merge-config/jsonPointer";
import { mergeConfigOrThrow } from "@pomeloturn/merge-config/mergeConfig";
import { Command, Option } from "clipanion";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readHead, readHeadFiles } from "../../shared/readHead.ts";

/** `config show [--origin]`: prints the active version. */
export class ConfigShowCommand extends OperatorCommand {
    static override paths = [["config", "show"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show the merged configuration of the active version, or with --origin the file that sets each value.",
    });

    readonly hasOrigins = Option.Boolean("--origin", false, { description: "print one line per value: path, value, file and owner" });

    protected async run(): Promise<void> {
        const platform = this.createPlatformClient(this.loadSettings());
        const { head } = await readHead(platform);
        if (head.version === 0) {
            this.print("no configuration version has been applied yet");
            return;
        }
        const { configuration, origins } = mergeConfigOrThrow(await readHeadFiles(platform, head));
        if (!this.hasOrigins) {
            this.printJson({ version: head.version, configuration });
            return;
        }
        for (const [pointer, { file, owner }] of origins.list()) {
            this.print(`${pointer} = ${JSON.stringify(readPointer(configuration, pointer))} (${file}, ${owner})`);
        }
    }
}
