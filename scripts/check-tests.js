// Reads vitest's JSON report: only the tests of KNOWN-RED.txt may fail. Prints them and the closing line.
import { readFileSync } from "node:fs";

const report = JSON.parse(readFileSync("dist/test-report.json", "utf8"));
const known = readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter(line => line.trim() !== "" && !line.startsWith("#"))
    .map(line => line.split(" | "));
const results = report.testResults.flatMap(file => file.assertionResults);
const failed = results.filter(({ status }) => status === "failed").map(({ fullName }) => fullName);
const unexpected = failed.filter(name => !known.some(([knownName]) => knownName === name));
const brokenFiles = report.testResults.filter(({ status, assertionResults }) => status === "failed" && assertionResults.length === 0);

for (const entry of known) {
    const state = failed.includes(entry[0]) ? "still red" : "passes now, remove it from KNOWN-RED.txt";
    console.log(`known red (${state}): ${entry.join(" | ")}`);
}
for (const name of unexpected) {
    console.log(`failed: ${name}`);
}
for (const { name, message } of brokenFiles) {
    console.log(`failed to load: ${name}: ${message}`);
}
const passedCount = results.filter(({ status }) => status === "passed").length;
const failedCount = unexpected.length + brokenFiles.length;
console.log(`${passedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 && passedCount > 0 ? 0 : 1);
