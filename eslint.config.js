import { existsSync, readdirSync } from "node:fs";
import tseslint from "typescript-eslint";

/** Wire names of the users' platform: paths, headers, fields and error words. Only platform/ may contain them. */
const PLATFORM_NAMES = "/rows-(tx|get|feed|parts)|blob-(put|get|drop)|^Pomeloturn-|POMELOTURN_BOOT|max_staleness|target_latency|db_role|"
    + "^(LAGGING|MISROUTED|MAXCONN|NOSTMT|INDOUBT|READONLY|STARTUP|DATAROW|STEPDOWN)\\b|cold_remaining|tx_idle_ms|max_conns/";

const PLATFORM_LITERAL = { selector: `Literal[value=${PLATFORM_NAMES}]`, message: "Use wire names of the platform only in platform/." };
const PLATFORM_IMPORT = {
    selector: "ImportDeclaration[source.value=/^@pomeloturn.platform./]",
    message: "Import platform/ only from the main file of a program.",
};

const FORBIDDEN_SYNTAX = [
    { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
    { selector: "SwitchStatement", message: "Use a table of handlers instead of a switch statement." },
    { selector: "ExportAllDeclaration", message: "Import from the declaring file instead of re-exporting its symbols." },
];

const GROUPS = ["shared", "request", "connection", "version", "process"];

/** Groups whose packages a group may not import, so that no lower group depends on a higher one. */
const FORBIDDEN_GROUPS = {
    shared: ["request", "connection", "version", "process", "programs"],
    request: ["connection", "version", "process", "programs"],
    connection: ["process", "programs"],
    version: ["process", "programs"],
    process: ["programs"],
};

const listPackages = group => {
    const folder = group === "programs" ? "programs" : `packages/${group}`;
    return existsSync(folder) ? readdirSync(folder) : [];
};

const groupDependencyRules = GROUPS.map(group => ({
    files: [`packages/${group}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{
                group: FORBIDDEN_GROUPS[group].flatMap(listPackages).map(name => `@pomeloturn/${name}/*`),
                message: "A package may only import from lower groups: programs > process > version, connection > request > shared.",
            }],
        }],
    },
}));

/** Packages that take time and random numbers as arguments and use no timers, so that their behaviour is deterministic. */
const DETERMINISTIC_FILES = [
    "packages/request/**/*.ts",
    "packages/version/**/*.ts",
    "packages/connection/session/**/*.ts",
    "packages/connection/connection-pool/**/*.ts",
    "packages/connection/session-token/**/*.ts",
    "packages/process/membership/**/*.ts",
    "packages/process/assign-holders/**/*.ts",
    "packages/process/drain/**/*.ts",
    "packages/connection/statement-session/**/*.ts",
    "packages/connection/caller-limits/**/*.ts",
    "packages/connection/instance-pool/src/PoolState.ts",
];

export default tseslint.config(
    { ignores: ["**/dist/", "target/", "**/node_modules/", "**/generated/"] },
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
            "no-restricted-syntax": ["error", ...FORBIDDEN_SYNTAX],
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
        files: DETERMINISTIC_FILES,
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-globals": ["error", "Date", "performance", "setTimeout", "setInterval", "setImmediate", "process"],
            "no-restricted-properties": ["error", { object: "Math", property: "random", message: "Take random numbers from an argument." }],
        },
    },
    {
        files: ["**/*.test.ts", "tests/**/*.ts"],
        rules: { "max-lines-per-function": "off", "@typescript-eslint/no-unsafe-assignment": "off" },
    },
    ...groupDependencyRules,
    { files: ["programs/**/*.ts"], rules: { "no-restricted-syntax": ["error", ...FORBIDDEN_SYNTAX, PLATFORM_LITERAL] } },
    {
        files: ["packages/**/*.ts"],
        rules: { "no-restricted-syntax": ["error", ...FORBIDDEN_SYNTAX, PLATFORM_LITERAL, PLATFORM_IMPORT] },
    },
);
