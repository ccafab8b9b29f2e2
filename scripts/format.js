// Formats all TypeScript and JavaScript sources with the TypeScript plugin of dprint and the settings in dprint.json.
// The plugin runs as WebAssembly in Node.js, so no platform-specific binary is needed. With --check it only reports, and exits with 1 if a file would change.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";

const EXIT_FAILURE = 1;

const settings = JSON.parse(readFileSync("dprint.json", "utf8"));
const { lineWidth, indentWidth, newLineKind, typescript } = settings;
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);

const isCheck = process.argv.includes("--check");
const isSource = file => /\.(?:ts|js)$/.test(file) && !/(?:^|\/)(?:node_modules|dist|generated)\//.test(file);
const folders = ["packages", "platform", "programs", "scripts", "tests"];
const nestedFiles = folders.flatMap(folder => readdirSync(folder, { recursive: true }).map(file => `${folder}/${file}`));
const files = [...readdirSync("."), ...nestedFiles].filter(isSource);
const changed = files.filter(file => {
    const before = readFileSync(file, "utf8");
    const after = formatter.formatText({ filePath: file, fileText: before });
    if (after !== before && !isCheck) {
        writeFileSync(file, after);
    }
    return after !== before;
});
for (const file of changed) {
    console.log(`${isCheck ? "not formatted" : "formatted"}: ${file}`);
}
process.exit(isCheck && changed.length > 0 ? EXIT_FAILURE : 0);
