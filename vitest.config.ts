import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/**/*.test.ts", "platform/**/*.test.ts", "programs/**/*.test.ts", "tests/**/*.test.ts"],
        pool: "forks",
        testTimeout: 60_000,
        hookTimeout: 60_000,
        env: { POMELOTURN_LOG: "off" },
    },
});
