import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { formatResult, PomeloturnError } from "./PomeloturnError.ts";
import { ResultCode } from "./ResultCode.ts";
import { resultTable } from "./resultTable.ts";

const errorCodes = Object.entries(ResultCode).filter(([, code]) => code !== ResultCode.Ok);

const documentedRows = (): string[] => readFileSync("docs/RESULT-CODES.md", "utf8").split("\n").filter(line => /^\| \d/.test(line));

describe("result table", () => {
    it.each(errorCodes)("describes %s under the name of its code", (name, code) => {
        expect(resultTable.get(code)?.name).toBe(name);
    });

    it("matches docs/RESULT-CODES.md line for line", () => {
        const rows = [...resultTable].map(([code, { name, sqlState, effect, message }]) =>
            `| ${code} | ${name} | ${sqlState} | ${effect} | ${message} |`
        );
        expect(documentedRows()).toEqual(rows);
    });

    it("gives each result a unique number and a well-formed SQLSTATE", () => {
        expect(new Set(errorCodes.map(([, code]) => code)).size).toBe(errorCodes.length);
        for (const { sqlState } of resultTable.values()) {
            expect(sqlState).toMatch(/^[0-9A-Z]{5}$/);
        }
    });
});

describe("PomeloturnError", () => {
    it("puts the number at the start of the message and keeps percent signs of the detail", () => {
        const error = PomeloturnError.create(ResultCode.UnknownRank, "100%s");
        expect(error.message).toBe(formatResult(ResultCode.UnknownRank, "100%s"));
        expect(error.message).toMatch(/^pomeloturn 107: /);
    });
});
