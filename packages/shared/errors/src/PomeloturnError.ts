import VError from "verror";
import type { ResultCode } from "./ResultCode.ts";
import { resultTable } from "./resultTable.ts";

/** An error with a result code. The message starts with the number, as operators search for it. */
export class PomeloturnError extends VError {
    readonly code: ResultCode;

    private constructor(code: ResultCode, readonly detail: string, cause: Error | undefined) {
        const options: VError.Options = { name: "PomeloturnError" };
        if (cause !== undefined) {
            options.cause = cause;
        }
        super(options, "%s", formatResult(code, detail));
        this.code = code;
    }

    /** @param detail what was wrong, in one line; appended to the code's message */
    static create(code: ResultCode, detail = "", cause?: Error): PomeloturnError {
        return new PomeloturnError(code, detail, cause);
    }
}

/** One line for callers and operators: number, message, certainty and detail. */
export const formatResult = (code: ResultCode, detail = ""): string => {
    const description = resultTable.get(code);
    const base = `pomeloturn ${code}: ${description?.message ?? "unknown result"} (${description?.effect ?? "unknown"})`;
    return detail === "" ? base : `${base}: ${detail}`;
};
