// Generates docs/RESULT-CODES.md from the table in packages/shared/errors. A test checks that the page matches the table.
import { build } from "esbuild";
import { writeFileSync } from "node:fs";

const bundle = await build({
    entryPoints: ["packages/shared/errors/src/resultTable.ts"],
    bundle: true,
    format: "esm",
    platform: "node",
    write: false,
});
const source = Buffer.from(bundle.outputFiles[0].contents).toString("base64");
const { resultTable } = await import(`data:text/javascript;base64,${source}`);
const rows = [...resultTable].map(([code, { name, sqlState, effect, message }]) =>
    `| ${code} | ${name} | ${sqlState} | ${effect} | ${message} |`
);
const page = `# Result codes: what does a number mean?

Every error of pomeloturn carries a number, in the message and in the detail field (\`result=301 effect=not run\`). The effect is certain: "not run" means that the request had no effect and may be repeated; "outcome unknown" means that it may have run, so repeat it only under a request id.

1xx start-up and bad input, 2xx routing, 3xx limits, 4xx failures while running, 5xx settings and configuration. Errors of the backend server are passed on unchanged and have no number.

| number | name | SQLSTATE | effect | message |
| --- | --- | --- | --- | --- |
${rows.join("\n")}

Written by \`node scripts/make-result-codes.js\`.
`;
writeFileSync("docs/RESULT-CODES.md", page);
