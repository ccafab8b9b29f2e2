// Reads the reports of a run of vitest and exits with 1 if a test fails that is not listed in KNOWN-RED.txt, a file fails to load,
// an error occurred outside the tests (as when a worker dies), a test has no result, or no test passes.
// Prints the listed tests with their state, the unexpected failures and the totals.
// Arguments: the JSON report, the report of run-state-reporter.js and the list of known failures; by default those of `npm test`.
import { readFileSync } from "node:fs";

const [reportFile = "dist/test-report.json", stateFile = "dist/test-run-state.json", knownFile = "KNOWN-RED.txt"] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportFile, "utf8"));
const runState = JSON.parse(readFileSync(stateFile, "utf8"));
const knownFailures = readFileSync(knownFile, "utf8")
    .split("\n")
    .filter(line => line.trim() !== "" && !line.startsWith("#"))
    .map(line => line.split(" | "));
const results = report.testResults.flatMap(file => file.assertionResults);
const failed = results.filter(({ status }) => status === "failed").map(({ fullName }) => fullName);
const unexpected = failed.filter(name => !knownFailures.some(([knownName]) => knownName === name));
const brokenFiles = report.testResults.filter(({ status, assertionResults }) => status === "failed" && assertionResults.length === 0);

const describeState = name => {
    if (failed.includes(name)) {
        return "still failing";
    }
    return results.some(({ fullName, status }) => fullName === name && status === "passed")
        ? "passes now, remove it from KNOWN-RED.txt"
        : "no test of this run, run its command";
};

for (const entry of knownFailures) {
    console.log(`known red (${describeState(entry[0])}): ${entry.join(" | ")}`);
}
for (const name of unexpected) {
    console.log(`failed: ${name}`);
}
for (const { name, message } of brokenFiles) {
    console.log(`failed to load: ${name}: ${message}`);
}
for (const message of runState.errors) {
    console.log(`error outside the tests: ${message}`);
}
for (const name of runState.unfinished) {
    console.log(`without a result: ${name}`);
}
const passedCount = results.filter(({ status }) => status === "passed").length;
const failedCount = unexpected.length + brokenFiles.length + runState.errors.length + runState.unfinished.length;
console.log(`${passedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 && passedCount > 0 ? 0 : 1);
