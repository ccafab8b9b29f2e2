import { formatProblem, mergeConfig } from "@pomeloturn/merge-config/mergeConfig";
import { Command, Option } from "clipanion";
import { ExitCode } from "../../shared/ExitCode.ts";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readFolder } from "../../shared/readFolder.ts";

/** `config check DIR`: merges and validates the files of a folder without access to the platform. */
export class ConfigCheckCommand extends OperatorCommand {
    static override paths = [["config", "check"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Validate the files of a folder and print each problem with its file, path and rule.",
    });

    readonly folder = Option.String();

    protected run(): Promise<number> {
        const files = readFolder(this.folder);
        const { problems } = mergeConfig(files);
        for (const problem of problems) {
            this.context.stderr.write(`pomeloturn ${problem.code}: ${formatProblem(problem)}\n`);
        }
        if (problems.length === 0) {
            this.print(`${this.folder}: ${files.length} files are valid`);
        }
        return Promise.resolve(problems.length === 0 ? ExitCode.Ok : ExitCode.NotRun);
    }
}
