// Reads the JSON report of vitest and exits with 1 if a test fails that is not listed in KNOWN-RED.txt, a file fails to load or no test passes.
// Prints the listed tests with their state, the unexpected failures and the totals.
import { readFileSync } from "node:fs";

const report = JSON.parse(readFileSync("dist/test-report.json", "utf8"));
const knownFailures = readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter(line => line.trim() !== "" && !line.startsWith("#"))
    .map(line => line.split(" | "));
const results = report.testResults.flatMap(file => file.assertionResults);
const failed = results.filter(({ status }) => status === "failed").map(({ fullName }) => fullName);
const unexpected = failed.filter(name => !knownFailures.some(([knownName]) => knownName === name));
const brokenFiles = report.testResults.filter(({ status, assertionResults }) => status === "failed" && assertionResults.length === 0);

for (const entry of knownFailures) {
    const state = failed.includes(entry[0]) ? "still failing" : "passes now, remove it from KNOWN-RED.txt";
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
