import { standardOutput } from "@pomeloturn/logger/standardOutput";
import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { parseArgs } from "node:util";
import { Controller } from "./Controller.ts";
import { type ControllerSettings, controllerSettingsSchema } from "./ControllerSettings.ts";

const EXIT_FAILURE = 1;

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const settings = loadSettings<ControllerSettings>(values.settings ?? "controller.json", controllerSettingsSchema);
    const controller = await Controller.create(settings);
    controller.onSuperseded = () => standardOutput().flush(() => process.exit(EXIT_FAILURE));
    controller.onDrained = () => {
        controller.close();
        standardOutput().flush(() => process.exit());
    };
    process.on("SIGTERM", () => controller.drain(settings.drainDeadlineMs));
};

main().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_FAILURE);
});
