/** A file of a configuration folder, and what is wrong with one. */

import type { ResultCode } from "@pomeloturn/errors/ResultCode";

/** Constants for who owns a file. */
export const Owner = {
    Finance: "finance",
    Engineering: "engineering",
} as const;
export type Owner = typeof Owner[keyof typeof Owner];

/** A file as it was read. */
export interface ConfigFile {
    /** Name without the folder; files are merged in the order of their names. */
    readonly name: string;
    readonly text: string;
}

/** A JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A file whose owner was read and taken out. */
export interface ParsedFile {
    readonly name: string;
    readonly owner: Owner;
    /** JSON Merge Patch that the file applies. */
    readonly patch: JsonObject;
}

/** One fault of a configuration. */
export interface ConfigProblem {
    readonly code: ResultCode;
    /** Names of the files that set the value, joined by ", ". */
    readonly file: string;
    /** JSON pointer of the value. */
    readonly path: string;
    /** The rule that the value breaks. */
    readonly rule: string;
    readonly message: string;
}
