import { defineConfig } from "vitest/config";

/** Tests that measure the memory of a process. They run one at a time, after all others. */
const ISOLATED_TESTS = "tests/entry/misbehaving*.test.ts";

export default defineConfig({
    test: {
        pool: "forks",
        testTimeout: 60_000,
        hookTimeout: 60_000,
        env: { POMELOTURN_LOG: "off" },
        projects: [
            {
                extends: true,
                test: {
                    name: "parallel",
                    include: ["packages/**/*.test.ts", "platform/**/*.test.ts", "programs/**/*.test.ts", "tests/**/*.test.ts"],
                    exclude: ["**/node_modules/**", ISOLATED_TESTS],
                    sequence: { groupOrder: 0 },
                },
            },
            {
                extends: true,
                test: {
                    name: "isolated",
                    include: [ISOLATED_TESTS],
                    fileParallelism: false,
                    testTimeout: 120_000,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
