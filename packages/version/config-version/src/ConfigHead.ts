/** Rows of the platform's table service that describe the stored configuration versions. */

import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Owner } from "@pomeloturn/merge-config/ConfigFile";
import type { TableRow } from "@pomeloturn/types/Platform";

/** Key of the row that names the active version. Controllers poll it. */
export const HEAD_KEY = "config/head";

/** Key of the row that lists the most recent versions. Only operators' commands read it. */
export const HISTORY_KEY = "config/history";

/** A file of the active version. */
export interface FileVersion {
    readonly name: string;
    readonly owner: Owner;
    /** SHA-256 hash of the text in hexadecimal. */
    readonly hash: string;
    /** Configuration version that last changed the file. */
    readonly version: number;
}

/** The active configuration version. */
export interface ConfigHead {
    /** 0 before the first version is applied. */
    readonly version: number;
    /** Name of the object that holds the files; empty for version 0. */
    readonly objectName: string;
    readonly files: readonly FileVersion[];
}

/** An edit that was applied. */
export interface HistoryEntry {
    readonly version: number;
    readonly objectName: string;
    /** Hash over the edit's operator, base version and files. */
    readonly applyId: string;
    readonly operator: string;
    /** Wall-clock time on the operator's machine, in milliseconds since the Unix epoch. */
    readonly appliedAtMs: number;
    /** Names of the files that were added, changed or removed. */
    readonly changedFiles: readonly string[];
}

const EMPTY_HEAD: ConfigHead = { version: 0, objectName: "", files: [] };

/** Parses the head row. @throws PomeloturnError with `ConfigurationInvalid` when the row is not valid JSON */
export const parseHead = (row: TableRow): ConfigHead => row.version === 0 ? EMPTY_HEAD : parse(row) as ConfigHead;

/** Parses the history row, newest entry first. @throws PomeloturnError with `ConfigurationInvalid` when the row is not valid JSON */
export const parseHistory = (row: TableRow): readonly HistoryEntry[] => row.version === 0 ? [] : parse(row) as readonly HistoryEntry[];

const parse = (row: TableRow): unknown => {
    try {
        return JSON.parse(row.value);
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `row ${row.key} is not valid JSON`, error as Error);
    }
};
