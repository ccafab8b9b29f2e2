import { standardOutput } from "@pomeloturn/logger/standardOutput";
import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { parseArgs } from "node:util";
import { Proxy } from "./Proxy.ts";
import { type ProxySettings, proxySettingsSchema } from "./ProxySettings.ts";

const EXIT_FAILURE = 1;
const DEFAULT_DRAIN_DEADLINE_MS = 30_000;

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const settings = loadSettings<ProxySettings>(values.settings ?? "proxy.json", proxySettingsSchema);
    const proxy = await Proxy.create(settings);
    proxy.onDrained = () => {
        proxy.close();
        standardOutput().flush(() => process.exit());
    };
    process.on("SIGTERM", () => proxy.drain(settings.drainDeadlineMs ?? DEFAULT_DRAIN_DEADLINE_MS));
};

main().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_FAILURE);
});
