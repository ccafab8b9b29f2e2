import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CallerReply } from "@pomeloturn/types/CallerMessage";
import { TransactionStatus } from "@pomeloturn/types/Request";
import { type Statement, StatementKind } from "@pomeloturn/types/Statement";
import type { SessionState } from "./SessionState.ts";

type LocalHandler = (session: SessionState, statement: Statement) => CallerReply;

/** Creates a success reply without rows. */
export const createSuccessReply = (status: TransactionStatus): CallerReply => ({
    code: ResultCode.Ok,
    rows: [],
    proof: "",
    detail: "",
    retryAfterMs: undefined,
    status,
});

/**
 * Creates an error reply.
 *
 * @param retryAfterMs time after which the caller may retry a request that was not run
 */
export const createErrorReply = (code: number, detail: string, status: TransactionStatus, retryAfterMs?: number): CallerReply => ({
    code,
    rows: [],
    proof: "",
    detail,
    retryAfterMs,
    status,
});

/** Largest `storedLength` of a session: the process keeps what its sessions have set for as long as they last. */
const MAXIMUM_STORED_LENGTH = 262_144;

const lengthOf = (name: string, value: string | undefined): number => value === undefined ? 0 : name.length + value.length;

/** Copies a part of a message, which would otherwise keep the memory of the whole message. */
const detach = (text: string): string => Buffer.from(text, "latin1").toString("latin1");

/** Replaces a setting or a prepared statement, unless the session would then hold too much. */
const store = (session: SessionState, oldLength: number, newLength: number, apply: () => void): CallerReply => {
    const storedLength = session.storedLength - oldLength + newLength;
    if (storedLength > MAXIMUM_STORED_LENGTH) {
        const detail = `the settings and prepared statements of a session are limited to ${MAXIMUM_STORED_LENGTH} characters`;
        return createErrorReply(ResultCode.MessageTooLarge, detail, session.status);
    }
    session.storedLength = storedLength;
    apply();
    return createSuccessReply(session.status);
};

const localHandlers: Readonly<Partial<Record<StatementKind, LocalHandler>>> = {
    set: (session, { name, argument }) =>
        store(
            session,
            lengthOf(name, session.settings.get(name)),
            lengthOf(name, argument),
            () => session.settings.set(detach(name), detach(argument)),
        ),
    prepare: (session, { name, argument, isWrite }) => {
        const known = session.preparedStatements.get(name);
        return store(
            session,
            lengthOf(name, known?.shape),
            lengthOf(name, argument),
            () => session.preparedStatements.set(detach(name), { isWrite, shape: detach(argument) }),
        );
    },
    close: (session, { name }) =>
        store(session, lengthOf(name, session.preparedStatements.get(name)?.shape), 0, () => session.preparedStatements.delete(name)),
    malformed: (session, { text }) =>
        createErrorReply(ResultCode.MalformedMessage, text.slice(0, MAXIMUM_DETAIL_CHARACTERS), session.status),
};

/** Maximum length of statement text quoted in an error. */
const MAXIMUM_DETAIL_CHARACTERS = 60;
/** Maximum length of a name quoted in an error. */
const MAXIMUM_NAME_CHARACTERS = 200;

const TRANSACTION_END_KINDS: ReadonlySet<StatementKind> = new Set<StatementKind>([StatementKind.Commit, StatementKind.Rollback]);

/** Answers a statement in a failed transaction, where only COMMIT and ROLLBACK are accepted. */
const answerInFailedTransaction = (session: SessionState, { kind }: Statement): CallerReply => {
    if (!TRANSACTION_END_KINDS.has(kind)) {
        return createErrorReply(
            ResultCode.MalformedMessage,
            "the transaction has failed, only COMMIT or ROLLBACK is accepted",
            TransactionStatus.Failed,
        );
    }
    session.status = TransactionStatus.Idle;
    return kind === StatementKind.Rollback
        ? createSuccessReply(TransactionStatus.Idle)
        : createErrorReply(ResultCode.TransactionLost, "the transaction had failed and was not committed", TransactionStatus.Idle);
};

/** Returns an error reply for a statement that is not allowed in the session's state, otherwise undefined. */
const checkAllowed = ({ status, preparedStatements }: SessionState, { kind, name }: Statement): CallerReply | undefined => {
    const isOpen = status === TransactionStatus.Open;
    if (isOpen && (kind === StatementKind.Begin || kind === StatementKind.BeginRead)) {
        return createErrorReply(ResultCode.MalformedMessage, "BEGIN is not allowed, a transaction is already open", status);
    }
    if (!isOpen && TRANSACTION_END_KINDS.has(kind)) {
        return createErrorReply(ResultCode.MalformedMessage, "COMMIT or ROLLBACK is not allowed, no transaction is open", status);
    }
    if (kind === StatementKind.Execute && !preparedStatements.has(name)) {
        return createErrorReply(ResultCode.UnknownPreparedStatement, name.slice(0, MAXIMUM_NAME_CHARACTERS), status);
    }
    return undefined;
};

/**
 * Answers a statement that needs no instance: session settings, prepared statements and errors.
 *
 * @returns undefined for statements that an instance has to run, and for the begin and end of a transaction
 */
export const answerLocally = (session: SessionState, statement: Statement): CallerReply | undefined => {
    if (session.status === TransactionStatus.Failed) {
        return answerInFailedTransaction(session, statement);
    }
    return localHandlers[statement.kind]?.(session, statement) ?? checkAllowed(session, statement);
};
