import type { DatabaseInstance } from "./DatabaseInstance.ts";
import { DatabaseError, type DatabaseSession } from "./DatabaseSession.ts";
import { type StatementForm, statementForms, type StatementResult } from "./statements.ts";

/** Handler of a statement and the match of its pattern. */
export interface PreparedText {
    readonly form: StatementForm;
    readonly match: RegExpMatchArray;
}

const normalize = (text: string): string => text.replaceAll(/\/\*.*?\*\//gs, "").trim().replace(/;$/, "").trim();

/** Finds the handler of a statement. @throws DatabaseError with SQLSTATE 42601 if no pattern matches */
export const findForm = (text: string): PreparedText => {
    const statement = normalize(text);
    for (const form of statementForms) {
        const match = form.pattern.exec(statement);
        if (match !== null) {
            return { form, match };
        }
    }
    throw DatabaseError.create("42601", `syntax error at or near "${statement.slice(0, 60)}"`);
};

/** Splits a text into statements at the semicolons outside quotes. */
export const splitStatements = (text: string): string[] => {
    const statements = normalize(text).match(/(?:'(?:[^']|'')*'|[^;'])+/g) ?? [];
    return statements.filter(each => each.trim() !== "");
};

const acquireSlot = async (instance: DatabaseInstance): Promise<void> => {
    if (instance.executing >= instance.slots) {
        await new Promise<void>(resolve => instance.waiting.push(resolve));
        return;
    }
    instance.executing++;
};

const releaseSlot = (instance: DatabaseInstance): void => {
    const next = instance.waiting.shift();
    if (next === undefined) {
        instance.executing--;
    }
    else {
        next();
    }
};

/** Statements on the proxies' own tables do not occupy a slot. */
const isOnProxyTable = (match: RegExpMatchArray): boolean => match[1]?.startsWith("pomeloturn_") === true;

/**
 * Runs a statement and, outside a transaction, commits it immediately.
 *
 * @throws DatabaseError with SQLSTATE 25P02 in a failed transaction unless the statement ends it
 */
export const executeStatement = async (session: DatabaseSession, { form, match }: PreparedText): Promise<StatementResult> => {
    if (session.isFailed && !/^(?:commit|end|rollback|abort)/i.test(match[0])) {
        throw DatabaseError.create("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
    if (!form.isWork) {
        return form.run(session, match);
    }
    return isOnProxyTable(match) ? runHandler(session, form, match) : runInSlot(session, form, match);
};

const runInSlot = async (session: DatabaseSession, handler: StatementForm, match: RegExpMatchArray): Promise<StatementResult> => {
    const { instance } = session;
    await acquireSlot(instance);
    try {
        if (instance.statementTimeMs > 0) {
            await new Promise(resolve => setTimeout(resolve, instance.statementTimeMs));
        }
        return await runHandler(session, handler, match);
    }
    finally {
        releaseSlot(instance);
    }
};

const runHandler = async (session: DatabaseSession, handler: StatementForm, match: RegExpMatchArray): Promise<StatementResult> => {
    const result = await handler.run(session, match);
    if (!session.isInTransaction) {
        session.commit();
    }
    return result;
};
