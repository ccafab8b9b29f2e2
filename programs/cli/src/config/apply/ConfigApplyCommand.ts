import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { Command, Option, UsageError } from "clipanion";
import { OperatorCommand } from "../../shared/OperatorCommand.ts";
import { readFolder } from "../../shared/readFolder.ts";
import { runApply } from "./runApply.ts";

/** `config apply DIR --base VERSION`: makes the files of a folder the active configuration. */
export class ConfigApplyCommand extends OperatorCommand {
    static override paths = [["config", "apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Make the files of a folder the active configuration.",
        details: `
            The base is the version that the folder was edited from, as printed by \`config pull\`. Files without changes
            keep the changes that others have applied since. A file that others have changed too is refused, and their
            change is shown.
        `,
    });

    readonly folder = Option.String();
    readonly base = Option.String("--base", { description: "version that the folder was edited from; 0 if there was none" });

    protected async run(): Promise<void> {
        const settings = this.loadSettings();
        const outcome = await runApply({
            operator: settings.operator,
            appliedAtMs: Date.now(),
            baseVersion: this.base === undefined ? undefined : parseVersion(this.base),
            files: readFolder(this.folder),
        }, this.createPlatformClient(settings));
        if (!outcome.isAccepted) {
            throw PomeloturnError.create(outcome.code, outcome.detail);
        }
        const { version, isUnchanged, headVersion } = outcome;
        this.print(isUnchanged ? `no changes: the files equal those of version ${version}` : `applied as version ${version}`);
        if (headVersion > version) {
            this.print(`the active version is ${headVersion}: others have applied changes since`);
        }
    }
}

const parseVersion = (text: string): number => {
    if (!/^\d{1,15}$/.test(text)) {
        throw new UsageError(`--base ${text} is not a version number`);
    }
    return Number(text);
};
