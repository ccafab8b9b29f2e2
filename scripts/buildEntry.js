// Bundles the entry program for the platform of the users: target/entry.cjs loads target/program.cjs with V8's code cache.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { fileURLToPath } from "node:url";

const PROGRAM = resolve("target/program.cjs");
const CACHE = resolve("target/program.cache");

const writeCodeCache = () => {
    const { loadProgram } = createRequire(import.meta.url)(resolve("target/loadProgram.cjs"));
    writeFileSync(CACHE, loadProgram(PROGRAM, "").script.createCachedData());
};

const buildEntry = async () => {
    mkdirSync("target", { recursive: true });
    await build({
        entryPoints: {
            entry: "programs/entry/src/start.ts",
            program: "programs/entry/src/main.ts",
            loadProgram: "programs/entry/src/loadProgram.ts",
        },
        bundle: true,
        minify: false,
        platform: "node",
        target: "node20",
        format: "cjs",
        outdir: "target",
        outExtension: { ".js": ".cjs" },
        logLevel: "warning",
    });
    // V8 accepts a code cache only with the options under which it was written.
    const options = readFileSync("deploy/system.toml", "utf8").match(/^run = "node (.*) target\//m)[1].split(" ");
    const { status } = spawnSync(process.execPath, [...options, fileURLToPath(import.meta.url), "--code-cache"], { stdio: "inherit" });
    process.exit(status ?? 1);
};

await (process.argv.includes("--code-cache") ? writeCodeCache() : buildEntry());
