import { createLogger } from "@pomeloturn/logger/createLogger";
import { standardOutput } from "@pomeloturn/logger/standardOutput";
import { loadPlatformSettings } from "@pomeloturn/platform/PlatformSettings";
import { findSettingsFile } from "@pomeloturn/platform/tables";
import { Entry } from "./Entry.ts";

/** Starts the proxy process of this VM with the settings file that the environment names. */
export const main = (): void => {
    const file = findSettingsFile(process.env);
    const settings = loadPlatformSettings(file);
    const logger = createLogger("entry", settings.vm);
    const entry = Entry.create(settings, logger);

    process.on("SIGTERM", () => entry.drain(() => standardOutput().flush(() => process.exit(0))));
    process.on("SIGHUP", () => {
        try {
            entry.reload(loadPlatformSettings(file));
        }
        catch (error) {
            logger.error("the settings could not be reloaded; the previous ones stay in use", { reason: (error as Error).message });
        }
    });
    // Also receives rejections that no code awaits.
    process.on("uncaughtException", error => entry.handleUnexpectedError(error));
    entry.start();
};
