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
    // libpg-query finds its wasm beside its module; pg's native client is optional.
    external: ["libpg-query", "pg-native"],
    logLevel: "warning",
});
