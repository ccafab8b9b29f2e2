import { build } from "esbuild";
import { existsSync, mkdirSync, rmSync, writeFileSync } from "node:fs";

const programs = ["proxy", "controller", "cli", "standin", "demo", "bench"];
const entryPoints = Object.fromEntries(
    programs
        .map(name => [name, `programs/${name}/src/main.ts`])
        .filter(([, file]) => existsSync(file)),
);

for (const [name, file] of [["benchPath", "tests/bench/main.ts"], ["loadWorker", "tests/bench/loadWorker.ts"]]) {
    entryPoints[name] = file;
}

rmSync("dist", { recursive: true, force: true });
mkdirSync("dist", { recursive: true });
writeFileSync("dist/package.json", "{ \"type\": \"commonjs\" }\n");

await build({
    entryPoints,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outdir: "dist",
    outExtension: { ".js": ".cjs" },
    sourcemap: true,
    // libpg-query loads its WebAssembly file from its own folder; the native client of pg is optional.
    external: ["libpg-query", "pg-native"],
    logLevel: "warning",
});
