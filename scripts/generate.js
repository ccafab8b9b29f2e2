// Generates the message modules from the .proto files. The output is committed, so that the build does not run the generator.
import { existsSync, mkdirSync, readdirSync } from "node:fs";
import { createRequire } from "node:module";
import { promisify } from "node:util";

const require = createRequire(import.meta.url);
const pbjs = promisify(require("protobufjs-cli/pbjs").main);
const pbts = promisify(require("protobufjs-cli/pbts").main);

const FLAGS = ["--es6", "--no-create", "--no-verify", "--no-convert", "--no-delimited", "--no-service"];

for (const name of readdirSync("packages/process")) {
    const folder = `packages/process/${name}`;
    const source = readdirSync(folder).find(file => file.endsWith(".proto"));
    if (source === undefined) {
        continue;
    }
    const output = `${folder}/src/generated`;
    const base = `${output}/${source.replace(".proto", "")}`;
    if (!existsSync(output)) {
        mkdirSync(output, { recursive: true });
    }
    await pbjs(["-t", "static-module", "-w", "es6", "-r", name, ...FLAGS, "-o", `${base}.js`, `${folder}/${source}`]);
    await pbts(["-o", `${base}.d.ts`, `${base}.js`]);
}
