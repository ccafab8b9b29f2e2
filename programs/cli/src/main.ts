import { Builtins, Cli } from "clipanion";
import { ConfigApplyCommand } from "./config/apply/ConfigApplyCommand.ts";
import { ConfigCheckCommand } from "./config/check/ConfigCheckCommand.ts";
import { ConfigDiffCommand } from "./config/diff/ConfigDiffCommand.ts";
import { ConfigHistoryCommand } from "./config/history/ConfigHistoryCommand.ts";
import { ConfigPullCommand } from "./config/pull/ConfigPullCommand.ts";
import { ConfigShowCommand } from "./config/show/ConfigShowCommand.ts";
import { DrainCommand } from "./drain/DrainCommand.ts";
import { ExplainCommand } from "./explain/ExplainCommand.ts";
import { HistogramsCommand } from "./histograms/HistogramsCommand.ts";
import { PromoteCommand } from "./promote/PromoteCommand.ts";
import { StatusCommand } from "./status/StatusCommand.ts";
import { TraceCommand } from "./trace/TraceCommand.ts";

const commands = [
    Builtins.HelpCommand,
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigApplyCommand,
    ConfigShowCommand,
    ConfigHistoryCommand,
    ConfigPullCommand,
    StatusCommand,
    DrainCommand,
    PromoteCommand,
    HistogramsCommand,
    ExplainCommand,
    TraceCommand,
];

const cli = new Cli({ binaryLabel: "pomeloturn", binaryName: "pomeloturn" });
commands.forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
