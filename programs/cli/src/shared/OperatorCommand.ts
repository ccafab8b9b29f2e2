import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { Command, Option } from "clipanion";
import { type CliSettings, cliSettingsSchema } from "../CliSettings.ts";
import { mapErrorToExitCode } from "./mapErrorToExitCode.ts";

const PLATFORM_CLIENT_NAME = "operator";

/** Base class of the commands: reads the settings, creates the platform's client, prints output and maps errors to exit codes. */
export abstract class OperatorCommand extends Command {
    readonly settingsFile = Option.String("--settings", "pomeloturn.json", {
        description: "JSON file with the URL of the platform and the addresses of controllers and proxies",
    });

    /** Runs the command. An error is printed and mapped to an exit code. @returns the exit code; 0 if undefined */
    protected abstract run(): Promise<number | void>;

    async execute(): Promise<number | void> {
        try {
            return await this.run();
        }
        catch (error) {
            this.context.stderr.write(`${(error as Error).message}\n`);
            return mapErrorToExitCode(error);
        }
    }

    protected loadSettings(): CliSettings {
        return loadSettings<CliSettings>(this.settingsFile, cliSettingsSchema);
    }

    protected createPlatformClient({ platformUrl, timeoutMs }: CliSettings): PlatformClient {
        return PlatformClient.create({ url: platformUrl, vm: PLATFORM_CLIENT_NAME, timeoutMs });
    }

    protected print(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }

    protected printJson(value: unknown): void {
        this.print(JSON.stringify(value, undefined, 4));
    }
}
