import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { Command, Option } from "clipanion";
import { mkdirSync, readdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readHead, readHeadFiles } from "../../shared/readHead.ts";

/** `config pull DIR`: writes the files of the active version into an empty folder for editing. */
export class ConfigPullCommand extends OperatorCommand {
    static override paths = [["config", "pull"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Write the files of the active version into an empty folder and print the version, the base of the next apply.",
    });

    readonly folder = Option.String();

    protected async run(): Promise<void> {
        const platform = this.createPlatformClient(this.loadSettings());
        const { head } = await readHead(platform);
        const files = await readHeadFiles(platform, head);
        mkdirSync(this.folder, { recursive: true });
        if (readdirSync(this.folder).length > 0) {
            throw PomeloturnError.create(ResultCode.ConfigurationConflict, `the folder ${this.folder} is not empty`);
        }
        files.forEach(({ name, text }) => writeFileSync(join(this.folder, name), text));
        this.print(`pulled version ${head.version}; apply with --base ${head.version}`);
    }
}
