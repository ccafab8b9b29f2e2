import { formatProblem, mergeConfig } from "@pomeloturn/merge-config/mergeConfig";
import { Command, Option } from "clipanion";
import { ExitCode } from "../../shared/ExitCode.ts";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readFolder } from "../../shared/readFolder.ts";

/** `config check DIR`: merges and checks a folder without reaching the platform. */
export class ConfigCheckCommand extends OperatorCommand {
    static override paths = [["config", "check"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Check a folder; each problem names file, path and rule.",
    });

    readonly folder = Option.String();

    protected run(): Promise<number> {
        const files = readFolder(this.folder);
        const { problems } = mergeConfig(files);
        for (const problem of problems) {
            this.context.stderr.write(`pomeloturn ${problem.code}: ${formatProblem(problem)}\n`);
        }
        if (problems.length === 0) {
            this.print(`${this.folder}: ${files.length} files are right`);
        }
        return Promise.resolve(problems.length === 0 ? ExitCode.Ok : ExitCode.NotRun);
    }
}
