import { loadSettings } from "@pomeloturn/settings/loadSettings";
import { parseArgs } from "node:util";
import { Proxy } from "./Proxy.ts";
import { type ProxySettings, proxySettingsSchema } from "./ProxySettings.ts";

const EXIT_FAILURE = 1;

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const proxy = await Proxy.create(loadSettings<ProxySettings>(values.settings ?? "proxy.json", proxySettingsSchema));
    process.on("SIGTERM", () => {
        proxy.close();
        process.exit();
    });
};

main().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_FAILURE);
});
