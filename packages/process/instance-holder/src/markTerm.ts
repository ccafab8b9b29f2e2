import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readSqlState } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import type { RunContext } from "./RunContext.ts";

const TERM_DIGITS = 10;
const READ_ONLY_SQL_STATE = "25006";

/** Text of a term whose order is the order of the numbers. */
export const formatTerm = (term: number): string => String(term).padStart(TERM_DIGITS, "0");

/** Reads the newest marker that an instance has replayed. */
export const MARKED_TERM_SELECT = "SELECT max(key) FROM pomeloturn_term";

/**
 * Goes on with a request at the primary once the term's marker is in its log: a row that replicas replay
 * before any write of the term, so that they can prove which history they are on. Rows are only added, so a
 * late marker of an old term changes nothing. An instance that refuses the marker is not the primary yet.
 */
export const markTerm = (context: RunContext, next: (context: RunContext) => void): void => {
    const { environment, relay } = context;
    if (environment.markedTerm === relay.term) {
        next(context);
        return;
    }
    let sqlState: string | undefined;
    const text = `INSERT INTO pomeloturn_term (key, value) VALUES ('${formatTerm(relay.term)}', '') ON CONFLICT (key) DO NOTHING`;
    context.send([serialize.query(text)], 1, {
        onMessage: message => {
            sqlState = message[0] === BackendType.ErrorResponse ? readSqlState(message) ?? "" : sqlState;
        },
        onDone: () => {
            if (sqlState !== undefined) {
                context.fail(sqlState === READ_ONLY_SQL_STATE ? ResultCode.NoInstance : ResultCode.SchemaMissing);
                return;
            }
            environment.markedTerm = relay.term;
            next(context);
        },
    });
};
