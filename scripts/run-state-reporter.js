// Reporter of vitest that writes what the JSON report leaves out: errors outside tests, such as the death of a worker, and test files without a result.
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

const STATE_FILE = process.env.RUN_STATE_FILE ?? "dist/test-run-state.json";

export default class RunStateReporter {
    onTestRunEnd(modules, errors, reason) {
        const unfinished = modules.filter(module => !["passed", "failed", "skipped"].includes(module.state())).map(({ moduleId }) =>
            moduleId
        );
        const unfinishedTests = modules.flatMap(module => [...module.children.allTests("pending")]).map(({ fullName }) => fullName);
        const state = { reason, errors: errors.map(({ message }) => message), unfinished: [...unfinished, ...unfinishedTests] };
        mkdirSync(dirname(STATE_FILE), { recursive: true });
        writeFileSync(STATE_FILE, JSON.stringify(state));
    }
}
