import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import type { SessionState } from "./SessionState.ts";

type LocalHandler = (session: SessionState, statement: Statement) => CallerReply;

/** An answer that the proxy gives by itself. */
export const completed = (status: TransactionStatus): CallerReply => ({
    code: ResultCode.Ok,
    rows: [],
    proof: "",
    detail: "",
    retryAfterMs: undefined,
    status,
});

/** An error answer. @param retryAfterMs when a request that did not run may come back */
export const refused = (code: number, detail: string, status: TransactionStatus, retryAfterMs?: number): CallerReply => ({
    code,
    rows: [],
    proof: "",
    detail,
    retryAfterMs,
    status,
});

const localHandlers: Readonly<Partial<Record<StatementKind, LocalHandler>>> = {
    set: (session, { name, argument }) => {
        session.values.set(name, argument);
        return completed(session.status);
    },
    prepare: (session, { name, argument, isWrite }) => {
        session.prepared.set(name, { isWrite, shape: argument });
        return completed(session.status);
    },
    close: (session, { name }) => {
        session.prepared.delete(name);
        return completed(session.status);
    },
    malformed: (session, { text }) => refused(ResultCode.MalformedMessage, text.slice(0, DETAIL_LIMIT), session.status),
};

/** Characters of a statement that stand in an error. */
const DETAIL_LIMIT = 60;

const ENDING_KINDS: ReadonlySet<StatementKind> = new Set<StatementKind>([StatementKind.Commit, StatementKind.Rollback]);

/** In a failed transaction only its end is taken. */
const answerFailed = (session: SessionState, { kind }: Statement): CallerReply => {
    if (!ENDING_KINDS.has(kind)) {
        return refused(ResultCode.MalformedMessage, "the transaction has failed", TransactionStatus.Failed);
    }
    session.status = TransactionStatus.Idle;
    return kind === StatementKind.Rollback
        ? completed(TransactionStatus.Idle)
        : refused(ResultCode.TransactionLost, "the transaction had failed", TransactionStatus.Idle);
};

/** Statements that are out of place in the session's state. */
const checkPlace = ({ status, prepared }: SessionState, { kind, name }: Statement): CallerReply | undefined => {
    const isOpen = status === TransactionStatus.Open;
    if (isOpen && (kind === StatementKind.Begin || kind === StatementKind.BeginRead)) {
        return refused(ResultCode.MalformedMessage, "a transaction is open", status);
    }
    if (!isOpen && ENDING_KINDS.has(kind)) {
        return refused(ResultCode.MalformedMessage, "no transaction is open", status);
    }
    if (kind === StatementKind.Execute && !prepared.has(name)) {
        return refused(ResultCode.UnknownPreparedStatement, name, status);
    }
    return undefined;
};

/** Answers what needs no instance. @returns undefined for statements that an instance has to run, and for the edges of a transaction */
export const answerLocally = (session: SessionState, statement: Statement): CallerReply | undefined => {
    if (session.status === TransactionStatus.Failed) {
        return answerFailed(session, statement);
    }
    return localHandlers[statement.kind]?.(session, statement) ?? checkPlace(session, statement);
};
