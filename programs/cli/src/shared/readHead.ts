import { parseBundle } from "@pomeloturn/config-version/ConfigBundle";
import { type ConfigHead, HEAD_KEY, HISTORY_KEY, type HistoryEntry, parseHead, parseHistory } from "@pomeloturn/config-version/ConfigHead";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import type { ObjectStore, TableService } from "@pomeloturn/types/Platform";

/** Reads the head of the active version and the history, newest entry first. @throws PomeloturnError with `StoreUnavailable` */
export const readHead = async (table: TableService): Promise<{ readonly head: ConfigHead; readonly history: readonly HistoryEntry[]; }> => {
    const [headRow, historyRow] = await table.read([HEAD_KEY, HISTORY_KEY]);
    return { head: parseHead(headRow!), history: parseHistory(historyRow!) };
};

/** Reads the files of the active version; none before the first apply. @throws PomeloturnError with `StoreUnavailable` */
export const readHeadFiles = async (objects: ObjectStore, { version, objectName }: ConfigHead): Promise<readonly ConfigFile[]> => {
    if (version === 0) {
        return [];
    }
    const body = await objects.get(objectName);
    if (body === undefined) {
        throw PomeloturnError.create(ResultCode.StoreUnavailable, `the object store has no object ${objectName}`);
    }
    return parseBundle(objectName, body).files;
};
