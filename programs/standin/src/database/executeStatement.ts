import type { DatabaseInstance } from "./DatabaseInstance.ts";
import { DatabaseError, type DatabaseSession } from "./DatabaseSession.ts";
import { type StatementForm, statementForms, type StatementResult } from "./statements.ts";

/** A statement with the form that it matches. */
export interface PreparedText {
    readonly form: StatementForm;
    readonly match: RegExpMatchArray;
}

const normalize = (text: string): string => text.replaceAll(/\/\*.*?\*\//gs, "").trim().replace(/;$/, "").trim();

/** Finds the form of a statement. @throws DatabaseError with SQLSTATE 42601 */
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

/** Splits a text at the semicolons outside quotes. */
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

/** Bookkeeping of the proxies is not work that the stand-in's slots model. */
const isBookkeeping = (match: RegExpMatchArray): boolean => match[1]?.startsWith("pomeloturn_") === true;

/** Runs a statement; outside a transaction it commits at once. */
export const executeStatement = async (session: DatabaseSession, { form, match }: PreparedText): Promise<StatementResult> => {
    if (session.isFailed && !/^(?:commit|end|rollback|abort)/i.test(match[0])) {
        throw DatabaseError.create("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
    if (!form.isWork) {
        return form.run(session, match);
    }
    return isBookkeeping(match) ? runForm(session, form, match) : runInSlot(session, form, match);
};

const runInSlot = async (session: DatabaseSession, form: StatementForm, match: RegExpMatchArray): Promise<StatementResult> => {
    const { instance } = session;
    await acquireSlot(instance);
    try {
        if (instance.statementTimeMs > 0) {
            await new Promise(resolve => setTimeout(resolve, instance.statementTimeMs));
        }
        return await runForm(session, form, match);
    }
    finally {
        releaseSlot(instance);
    }
};

const runForm = async (session: DatabaseSession, form: StatementForm, match: RegExpMatchArray): Promise<StatementResult> => {
    const result = await form.run(session, match);
    if (!session.isInTransaction) {
        session.commit();
    }
    return result;
};
