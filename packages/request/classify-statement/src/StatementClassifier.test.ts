import { StatementClass } from "@pomeloturn/types/StatementClass";
import fc from "fast-check";
import { beforeAll, describe, expect, it } from "vitest";
import { StatementClassifier } from "./StatementClassifier.ts";
import { readTrailingComment, stripTrailingComment } from "./trailingComment.ts";

const SEED = 4_202;
const CLASSES: readonly StatementClass[] = Object.values(StatementClass);

describe("StatementClassifier", () => {
    let classifier: StatementClassifier;

    beforeAll(async () => {
        classifier = await StatementClassifier.create();
    });

    it.each([
        ["SELECT value FROM entries WHERE key = $1", StatementClass.Read],
        ["SELECT count(*), max(value) FROM entries GROUP BY key HAVING count(*) > 1", StatementClass.Read],
        ["SELECT pg_catalog.lower(value) FROM entries", StatementClass.Read],
        ["WITH recent AS (SELECT * FROM entries) SELECT * FROM recent", StatementClass.Read],
        ["VALUES (1), (2)", StatementClass.Read],
        ["SHOW server_version", StatementClass.Read],
        ["", StatementClass.Read],
        ["-- nothing", StatementClass.Read],
        ["SELECT 1; SELECT 2", StatementClass.Read],
        ["INSERT INTO entries VALUES (1)", StatementClass.Write],
        ["SELECT file_correction(1)", StatementClass.Write],
        ["SELECT app.lower(value) FROM entries", StatementClass.Write],
        ["SELECT nextval('ids')", StatementClass.Write],
        ["SELECT set_config('a.b', 'c', false)", StatementClass.Write],
        ["SELECT * FROM entries WHERE key = file_correction(1)", StatementClass.Write],
        ["SELECT * FROM file_corrections(1)", StatementClass.Write],
        ["WITH gone AS (DELETE FROM entries RETURNING *) SELECT * FROM gone", StatementClass.Write],
        ["SELECT * FROM (SELECT * FROM entries FOR SHARE) AS locked", StatementClass.Write],
        ["SELECT * FROM entries FOR UPDATE", StatementClass.Write],
        ["SELECT * INTO copied FROM entries", StatementClass.Write],
        ["CREATE TEMP TABLE draft (a int)", StatementClass.Write],
        ["CREATE TABLE copied AS SELECT * FROM entries", StatementClass.Write],
        ["DO $$ BEGIN END $$", StatementClass.Write],
        ["CALL publish()", StatementClass.Write],
        ["EXPLAIN SELECT 1", StatementClass.Write],
        ["EXPLAIN ANALYZE DELETE FROM entries", StatementClass.Write],
        ["LOCK TABLE entries", StatementClass.Write],
        ["NOTIFY news", StatementClass.Write],
        ["DECLARE rows CURSOR FOR SELECT * FROM entries", StatementClass.Write],
        ["SAVEPOINT here", StatementClass.Write],
        ["ROLLBACK TO SAVEPOINT here", StatementClass.Write],
        ["SET LOCAL statement_timeout = 5", StatementClass.Write],
        ["SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", StatementClass.Write],
        ["this is not SQL", StatementClass.Write],
        ["SELECT 1; INSERT INTO entries VALUES (1)", StatementClass.Write],
        ["BEGIN", StatementClass.Begin],
        ["START TRANSACTION ISOLATION LEVEL REPEATABLE READ", StatementClass.Begin],
        ["COMMIT", StatementClass.Commit],
        ["END", StatementClass.Commit],
        ["ROLLBACK", StatementClass.Rollback],
        ["COMMIT AND CHAIN", StatementClass.Unsupported],
        ["BEGIN; SELECT 1; COMMIT", StatementClass.Mixed],
        ["SELECT 1; SET search_path = a", StatementClass.Mixed],
        ["SET search_path = a", StatementClass.SessionSetting],
        ["SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", StatementClass.SessionSetting],
        ["RESET ALL", StatementClass.SessionSetting],
        ["DISCARD ALL", StatementClass.SessionSetting],
        ["DEALLOCATE ALL", StatementClass.SessionSetting],
        ["PREPARE one AS SELECT 1", StatementClass.Unsupported],
        ["EXECUTE one", StatementClass.Unsupported],
        ["COPY entries FROM STDIN", StatementClass.Unsupported],
        ["COPY entries TO STDOUT", StatementClass.Unsupported],
        ["LISTEN news", StatementClass.Unsupported],
        ["UNLISTEN *", StatementClass.Unsupported],
        ["PREPARE TRANSACTION 'a'", StatementClass.Unsupported],
        ["SELECT 1; LISTEN news", StatementClass.Unsupported],
    ])("%s", (text, expected) => {
        expect(classifier.classify(text)).toBe(expected);
    });

    it("returns a class for every text", () => {
        fc.assert(fc.property(fc.string({ unit: "grapheme" }), text => CLASSES.includes(classifier.classify(text))), { seed: SEED });
    });
});

describe("trailing comments", () => {
    it.each([
        ["SELECT 1 /*rank='a'*/", "rank='a'", "SELECT 1"],
        ["SELECT 1 /*rank='a'*/ ; ", "rank='a'", "SELECT 1"],
        ["SELECT 1 /* one */ /* two */", " two ", "SELECT 1 /* one */"],
        ["SELECT '/*rank=1*/'", "", "SELECT '/*rank=1*/'"],
        ["SELECT 1 */", "", "SELECT 1 */"],
        ["SELECT 1 /*/", "", "SELECT 1 /*/"],
        ["", "", ""],
    ])("of %s", (text, comment, statement) => {
        expect(readTrailingComment(text)).toBe(comment);
        expect(stripTrailingComment(text)).toBe(statement);
    });
});
