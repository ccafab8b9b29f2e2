import { existsSync, readdirSync } from "node:fs";
import tseslint from "typescript-eslint";

/** Names of the users' platform on the wire: paths, headers, fields and error words. They stay in platform/. */
const PLATFORM_NAMES = "/rows-(tx|get|feed|parts)|blob-(put|get|drop)|^Pomeloturn-|POMELOTURN_BOOT|max_staleness|target_latency|db_role|"
    + "^(LAGGING|MISROUTED|MAXCONN|NOSTMT|INDOUBT|READONLY|STARTUP|DATAROW|STEPDOWN)\\b|cold_remaining|tx_idle_ms|max_conns/";

const PLATFORM_LITERAL = { selector: `Literal[value=${PLATFORM_NAMES}]`, message: "Names of the platform stay in platform/." };
const PLATFORM_IMPORT = {
    selector: "ImportDeclaration[source.value=/^@pomeloturn.platform./]",
    message: "Only a program's main wires platform/ in.",
};

const FORBIDDEN_SYNTAX = [
    { selector: "TSEnumDeclaration", message: "Use a constant object." },
    { selector: "SwitchStatement", message: "Use a table of handlers." },
    { selector: "ExportAllDeclaration", message: "No index files." },
];

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
    "packages/connection/statement-session/**/*.ts",
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
    { files: ["programs/**/*.ts"], rules: { "no-restricted-syntax": ["error", ...FORBIDDEN_SYNTAX, PLATFORM_LITERAL] } },
    {
        files: ["packages/**/*.ts"],
        rules: { "no-restricted-syntax": ["error", ...FORBIDDEN_SYNTAX, PLATFORM_LITERAL, PLATFORM_IMPORT] },
    },
);
