// Bundles the entry program for the platform of the users into target/entry.cjs.
import { build } from "esbuild";
import { mkdirSync } from "node:fs";

mkdirSync("target", { recursive: true });

await build({
    entryPoints: { entry: "programs/entry/src/main.ts" },
    bundle: true,
    minify: false,
    platform: "node",
    target: "node20",
    format: "cjs",
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    logLevel: "warning",
});
