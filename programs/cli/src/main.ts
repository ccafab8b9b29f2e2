import { Builtins, Cli } from "clipanion";
import { ConfigApplyCommand } from "./config/apply/ConfigApplyCommand.ts";
import { ConfigCheckCommand } from "./config/check/ConfigCheckCommand.ts";
import { ConfigDiffCommand } from "./config/diff/ConfigDiffCommand.ts";
import { ConfigHistoryCommand } from "./config/history/ConfigHistoryCommand.ts";
import { ConfigPullCommand } from "./config/pull/ConfigPullCommand.ts";
import { ConfigShowCommand } from "./config/show/ConfigShowCommand.ts";

const commands = [
    Builtins.HelpCommand,
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigApplyCommand,
    ConfigShowCommand,
    ConfigHistoryCommand,
    ConfigPullCommand,
];

const cli = new Cli({ binaryLabel: "pomeloturn", binaryName: "pomeloturn" });
commands.forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
