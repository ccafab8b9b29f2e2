import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { readSqlState } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import type { RunContext } from "./RunContext.ts";

const TERM_DIGITS = 10;
const READ_ONLY_SQL_STATE = "25006";

/** Formats a term with leading zeros, so that texts sort in the order of the numbers. */
export const formatTerm = (term: number): string => String(term).padStart(TERM_DIGITS, "0");

/** Selects the newest term marker that an instance has replayed. */
export const MARKED_TERM_SELECT = "SELECT max(key) FROM pomeloturn_term";

/**
 * Writes the marker row of the current term to the primary, unless it is known to be there, then continues the request.
 * Replicas replay the marker before any write of the term and thereby prove which history they follow. Marker
 * rows are only added, so a late marker of an old term has no effect. An instance that rejects the marker as
 * read-only is not the primary yet: the request fails with `ResultCode.NoInstance`.
 */
export const ensureTermMarker = (context: RunContext, next: (context: RunContext) => void): void => {
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
