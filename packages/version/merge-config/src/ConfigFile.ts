/** Files of a configuration folder and the problems found in them. */

import type { ResultCode } from "@pomeloturn/errors/ResultCode";

/** Department that owns a configuration file. */
export const Owner = {
    Finance: "finance",
    Engineering: "engineering",
} as const;
export type Owner = typeof Owner[keyof typeof Owner];

/** A configuration file as read from the folder. */
export interface ConfigFile {
    /** File name without the folder. Files are merged in the order of their names. */
    readonly name: string;
    readonly text: string;
}

export type JsonObject = Readonly<Record<string, unknown>>;

/** A parsed file with its owner separated from the patch. */
export interface ParsedFile {
    readonly name: string;
    readonly owner: Owner;
    /** JSON Merge Patch (RFC 7396) that the file applies. */
    readonly patch: JsonObject;
}

/** A problem found in a configuration. */
export interface ConfigProblem {
    readonly code: ResultCode;
    /** Names of the files that set the value, joined by ", ". */
    readonly file: string;
    /** JSON pointer of the value. */
    readonly path: string;
    /** Name of the violated rule. */
    readonly rule: string;
    readonly message: string;
}
