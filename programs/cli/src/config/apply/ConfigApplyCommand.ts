import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { Command, Option, UsageError } from "clipanion";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readFolder } from "../../shared/readFolder.ts";
import { runApply } from "./runApply.ts";

/** `config apply DIR --base VERSION`: puts a folder in force. */
export class ConfigApplyCommand extends OperatorCommand {
    static override paths = [["config", "apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Put a folder in force.",
        details: `
            The base is the version that the folder was edited from, as \`config pull\` printed it. Files that the folder
            did not change keep what others applied since; a file that both changed is refused and the other edit shown.
        `,
    });

    readonly folder = Option.String();
    readonly base = Option.String("--base", { description: "version that the folder was edited from; 0 when there was none" });

    protected async run(): Promise<void> {
        const settings = this.loadSettings();
        const outcome = await runApply({
            operator: settings.operator,
            appliedAtMs: Date.now(),
            baseVersion: this.base === undefined ? undefined : parseVersion(this.base),
            files: readFolder(this.folder),
        }, this.createPlatform(settings));
        if (!outcome.isAccepted) {
            throw PomeloturnError.create(outcome.code, outcome.detail);
        }
        const { version, isUnchanged, headVersion } = outcome;
        this.print(isUnchanged ? `nothing to change, in force is version ${version}` : `applied as version ${version}`);
        if (headVersion > version) {
            this.print(`others applied since, in force is version ${headVersion}`);
        }
    }
}

const parseVersion = (text: string): number => {
    if (!/^\d{1,15}$/.test(text)) {
        throw new UsageError(`--base ${text} is not a version`);
    }
    return Number(text);
};
