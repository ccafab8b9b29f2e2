/** The rows and objects in which the platform keeps the configuration. */

import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Owner } from "@pomeloturn/merge-config/ConfigFile";
import type { TableRow } from "@pomeloturn/types/Platform";

/** Key of the row that names the version in force. Controllers poll it. */
export const HEAD_KEY = "config/head";

/** Key of the row that lists the last versions. Only operators read it. */
export const HISTORY_KEY = "config/history";

/** A file of the version in force. */
export interface FileVersion {
    readonly name: string;
    readonly owner: Owner;
    /** SHA-256 of the text, in hexadecimal. */
    readonly hash: string;
    /** Configuration version that changed the file last. */
    readonly version: number;
}

/** The version in force. */
export interface ConfigHead {
    /** 0 before the first apply. */
    readonly version: number;
    /** Object that holds the files. */
    readonly objectName: string;
    readonly files: readonly FileVersion[];
}

/** One accepted apply. */
export interface HistoryEntry {
    readonly version: number;
    readonly objectName: string;
    /** Hash of the edit: its operator, base and files. */
    readonly applyId: string;
    readonly operator: string;
    /** Wall-clock time at the operator, in milliseconds since 1970. */
    readonly appliedAtMs: number;
    /** Names of the files that were set or removed. */
    readonly changedFiles: readonly string[];
}

const EMPTY_HEAD: ConfigHead = { version: 0, objectName: "", files: [] };

/** Reads the head's row. @throws PomeloturnError with `ConfigurationInvalid` */
export const parseHead = (row: TableRow): ConfigHead => row.version === 0 ? EMPTY_HEAD : parse(row) as ConfigHead;

/** Reads the history's row, newest entry first. @throws PomeloturnError with `ConfigurationInvalid` */
export const parseHistory = (row: TableRow): readonly HistoryEntry[] => row.version === 0 ? [] : parse(row) as readonly HistoryEntry[];

const parse = (row: TableRow): unknown => {
    try {
        return JSON.parse(row.value);
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `row ${row.key}`, error as Error);
    }
};
