import type { DatabaseInstance } from "./DatabaseInstance.ts";
import { DatabaseError, type DatabaseSession } from "./DatabaseSession.ts";
import { type StatementHandler, statementHandlers, type StatementResult } from "./statements.ts";

/** Handler of a statement and the match of its pattern. */
export interface MatchedStatement {
    readonly handler: StatementHandler;
    readonly match: RegExpMatchArray;
}

const normalize = (text: string): string => text.replaceAll(/\/\*.*?\*\//gs, "").trim().replace(/;$/, "").trim();

/** Finds the handler of a statement. @throws DatabaseError with SQLSTATE 42601 if no pattern matches */
export const matchStatement = (text: string): MatchedStatement => {
    const statement = normalize(text);
    for (const handler of statementHandlers) {
        const match = handler.pattern.exec(statement);
        if (match !== null) {
            return { handler, match };
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
    if (instance.executingCount >= instance.slots) {
        await new Promise<void>(resolve => instance.slotWaiters.push(resolve));
        return;
    }
    instance.executingCount++;
};

const releaseSlot = (instance: DatabaseInstance): void => {
    const next = instance.slotWaiters.shift();
    if (next === undefined) {
        instance.executingCount--;
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
export const executeStatement = async (session: DatabaseSession, { handler, match }: MatchedStatement): Promise<StatementResult> => {
    if (session.hasFailed && !/^(?:commit|end|rollback|abort)/i.test(match[0])) {
        throw DatabaseError.create("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
    if (!handler.isSlotRequired) {
        return handler.run(session, match);
    }
    return isOnProxyTable(match) ? runHandler(session, handler, match) : runInSlot(session, handler, match);
};

const runInSlot = async (session: DatabaseSession, handler: StatementHandler, match: RegExpMatchArray): Promise<StatementResult> => {
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

const runHandler = async (session: DatabaseSession, handler: StatementHandler, match: RegExpMatchArray): Promise<StatementResult> => {
    const result = await handler.run(session, match);
    if (!session.isInTransaction) {
        session.commit();
    }
    return result;
};
