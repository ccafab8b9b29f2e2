import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { Command, Option } from "clipanion";
import { type CliSettings, cliSettingsSchema } from "../CliSettings.ts";
import { exitCodeOf } from "./exitCodeOf.ts";

const PLATFORM_CLIENT_NAME = "operator";

/** What all commands share: settings, the platform, output and exit codes. */
export abstract class OperatorCommand extends Command {
    readonly settingsFile = Option.String("--settings", "pomeloturn.json", {
        description: "JSON file with the platform's URL and the addresses of controllers and proxies",
    });

    /** Carries the command out; @returns the exit code, 0 by default */
    protected abstract run(): Promise<number | void>;

    async execute(): Promise<number | void> {
        try {
            return await this.run();
        }
        catch (error) {
            this.context.stderr.write(`${(error as Error).message}\n`);
            return exitCodeOf(error);
        }
    }

    protected loadSettings(): CliSettings {
        return loadSettings<CliSettings>(this.settingsFile, cliSettingsSchema);
    }

    protected createPlatform({ platformUrl, timeoutMs }: CliSettings): PlatformClient {
        return PlatformClient.create({ url: platformUrl, vm: PLATFORM_CLIENT_NAME, timeoutMs });
    }

    protected print(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }

    protected printJson(value: unknown): void {
        this.print(JSON.stringify(value, undefined, 4));
    }
}
