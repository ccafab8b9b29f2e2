import VError from "verror";
import type { ResultCode } from "./ResultCode.ts";
import { resultTable } from "./resultTable.ts";

/** An error with a result code. Its message starts with `pomeloturn` and the number of the code, so that operators can search for it. */
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

    /** @param detail one line that says what failed; appended to the message of the code */
    static create(code: ResultCode, detail = "", cause?: Error): PomeloturnError {
        return new PomeloturnError(code, detail, cause);
    }
}

/** Formats a result as one line for callers and operators: number, message, effect and detail. */
export const formatResult = (code: ResultCode, detail = ""): string => {
    const description = resultTable.get(code);
    const base = `pomeloturn ${code}: ${description?.message ?? "unknown result"} (${description?.effect ?? "unknown"})`;
    return detail === "" ? base : `${base}: ${detail}`;
};
