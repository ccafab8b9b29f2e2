import { existsSync, readdirSync } from "node:fs";
import tseslint from "typescript-eslint";

const GROUPS = ["shared", "request", "connection", "version", "process"];

/** Groups of packages that a group may not import from, so that dependencies point one way. */
const FORBIDDEN_GROUPS = {
    shared: ["request", "connection", "version", "process", "programs"],
    request: ["connection", "version", "process", "programs"],
    connection: ["process", "programs"],
    version: ["process", "programs"],
    process: ["programs"],
};

const packagesOf = group => {
    const folder = group === "programs" ? "programs" : `packages/${group}`;
    return existsSync(folder) ? readdirSync(folder) : [];
};

const direction = GROUPS.map(group => ({
    files: [`packages/${group}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{
                group: FORBIDDEN_GROUPS[group].flatMap(packagesOf).map(name => `@pomeloturn/${name}/*`),
                message: "Package dependencies point one way: programs, process, version and connection, request, shared.",
            }],
        }],
    },
}));

const DECIDING = [
    "packages/request/**/*.ts",
    "packages/version/**/*.ts",
    "packages/connection/session/**/*.ts",
    "packages/connection/connection-pool/**/*.ts",
    "packages/connection/session-token/**/*.ts",
    "packages/process/membership/**/*.ts",
    "packages/process/assign-holders/**/*.ts",
    "packages/process/drain/**/*.ts",
];

export default tseslint.config(
    { ignores: ["**/dist/", "**/node_modules/", "**/generated/"] },
    {
        files: ["**/*.ts"],
        extends: [tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            curly: "error",
            eqeqeq: "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "max-lines": ["error", { max: 300, skipBlankLines: true }],
            "max-lines-per-function": ["error", { max: 40, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object." },
                { selector: "SwitchStatement", message: "Use a table of handlers." },
                { selector: "ExportAllDeclaration", message: "No index files." },
            ],
            "@typescript-eslint/explicit-function-return-type": ["error", { allowExpressions: true }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "variable", format: ["camelCase", "UPPER_CASE", "PascalCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/no-non-null-assertion": "off",
        },
    },
    {
        files: DECIDING,
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-globals": ["error", "Date", "performance", "setTimeout", "setInterval", "setImmediate", "process"],
            "no-restricted-properties": ["error", { object: "Math", property: "random", message: "Randomness is an argument." }],
        },
    },
    {
        files: ["**/*.test.ts", "tests/**/*.ts"],
        rules: { "max-lines-per-function": "off", "@typescript-eslint/no-unsafe-assignment": "off" },
    },
    ...direction,
);
