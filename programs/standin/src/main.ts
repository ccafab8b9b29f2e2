import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { parseArgs } from "node:util";
import { Standin } from "./Standin.ts";
import { type StandinSettings, standinSettingsSchema } from "./StandinSettings.ts";

const EXIT_FAILURE = 1;

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const settings = loadSettings<StandinSettings>(values.settings ?? "standin.json", standinSettingsSchema);
    const standin = await Standin.create(settings, () => performance.now());
    process.stdout.write("listening\n");
    process.on("SIGTERM", () => {
        standin.close();
        process.exit();
    });
};

main().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_FAILURE);
});
