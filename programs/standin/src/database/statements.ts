import { formatLogSequenceNumber } from "@pomeloturn/wire-messages/logSequenceNumber";
import { DatabaseError, type DatabaseSession } from "./DatabaseSession.ts";

/** Rows and command tag of a statement's result. */
export interface StatementResult {
    readonly rows: readonly (readonly (string | undefined)[])[];
    readonly tag: string;
}

/** Handles the statements that match a pattern. Tables have the columns `key` and `value`. */
export interface StatementHandler {
    readonly pattern: RegExp;
    /** Returns the column names of the result; undefined if the statement never returns rows. */
    readonly columns: ((match: RegExpMatchArray) => readonly string[]) | undefined;
    /** Whether the statement occupies a slot of the instance, unless it accesses the proxies' own tables. */
    readonly isSlotRequired: boolean;
    run(session: DatabaseSession, match: RegExpMatchArray): Promise<StatementResult> | StatementResult;
}

const TEXT = "'((?:[^']|'')*)'";
const TABLE = "([a-z_][a-z0-9_.]*)";

const unquote = (text: string): string => text.replaceAll("''", "'");
const compilePattern = (source: string): RegExp => new RegExp(`^${source}$`, "is");
const createSingleRow = (...values: (string | undefined)[]): StatementResult => ({ rows: [values], tag: "SELECT 1" });
const createEmptyResult = (tag: string): StatementResult => ({ rows: [], tag });

const createFunctionCall = (name: string, read: (session: DatabaseSession) => string): StatementHandler => ({
    pattern: compilePattern(`select ${name}\\(\\)`),
    columns: () => [name],
    isSlotRequired: false,
    run: session => createSingleRow(read(session)),
});

const createCommand = (source: string, run: (session: DatabaseSession, match: RegExpMatchArray) => string): StatementHandler => ({
    pattern: compilePattern(source),
    columns: undefined,
    isSlotRequired: false,
    run: (session, match) => createEmptyResult(run(session, match)),
});

const insert: StatementHandler = {
    pattern: compilePattern(
        `insert into ${TABLE} ?\\(key, value\\) values \\(${TEXT}, ${TEXT}\\)( on conflict (?:\\(key\\) )?do nothing| on conflict \\(key\\) do update set value = excluded\\.value)?( returning (?:key, )?value)?`,
    ),
    columns: match => match[5] === undefined ? [] : ["value"],
    isSlotRequired: true,
    run: async (session, match) => {
        const [, table, key, value, conflict] = match as unknown as string[];
        await session.lock(table!, unquote(key!));
        const isPresent = session.read(table!, unquote(key!)) !== undefined;
        if (isPresent && conflict === undefined) {
            throw DatabaseError.create("23505", "duplicate key value violates unique constraint");
        }
        if (isPresent && conflict!.toLowerCase().includes("nothing")) {
            return createEmptyResult("INSERT 0 0");
        }
        session.addChange({ table: table!, key: unquote(key!), value: unquote(value!) });
        return { rows: match[5] === undefined ? [] : [[unquote(value!)]], tag: "INSERT 0 1" };
    },
};

const update: StatementHandler = {
    pattern: compilePattern(`update ${TABLE} set value = (value \\|\\| )?${TEXT} where key = ${TEXT}`),
    columns: undefined,
    isSlotRequired: true,
    run: async (session, match) => {
        const [, table, append, value, key] = match as unknown as string[];
        await session.lock(table!, unquote(key!));
        const before = session.read(table!, unquote(key!));
        if (before === undefined) {
            return createEmptyResult("UPDATE 0");
        }
        session.addChange({ table: table!, key: unquote(key!), value: (append === undefined ? "" : before) + unquote(value!) });
        return createEmptyResult("UPDATE 1");
    },
};

const remove: StatementHandler = {
    pattern: compilePattern(`delete from ${TABLE} where key = ${TEXT}`),
    columns: undefined,
    isSlotRequired: true,
    run: async (session, match) => {
        const [, table, key] = match as unknown as string[];
        await session.lock(table!, unquote(key!));
        const isPresent = session.read(table!, unquote(key!)) !== undefined;
        if (isPresent) {
            session.addChange({ table: table!, key: unquote(key!), value: undefined });
        }
        return createEmptyResult(isPresent ? "DELETE 1" : "DELETE 0");
    },
};

const select: StatementHandler = {
    pattern: compilePattern(`select value from ${TABLE} where key = ${TEXT}( for update)?`),
    columns: () => ["value"],
    isSlotRequired: true,
    run: async (session, match) => {
        const [, table, key, lock] = match as unknown as string[];
        if (lock !== undefined) {
            await session.lock(table!, unquote(key!));
        }
        const value = session.read(table!, unquote(key!));
        return value === undefined ? createEmptyResult("SELECT 0") : createSingleRow(value);
    },
};

const selectAll: StatementHandler = {
    pattern: compilePattern(`select key, value from ${TABLE}`),
    columns: () => ["key", "value"],
    isSlotRequired: true,
    run: (session, match) => {
        const rows = [...session.readAll(match[1]!)];
        return { rows, tag: `SELECT ${rows.length}` };
    },
};

const count: StatementHandler = {
    pattern: compilePattern(`select count\\(\\*\\) from ${TABLE}(?: where key like ${TEXT})?`),
    columns: () => ["count"],
    isSlotRequired: true,
    run: (session, match) => {
        const prefix = unquote(match[2] ?? "%").replace(/%$/, "");
        const keys = [...session.readAll(match[1]!).keys()];
        return createSingleRow(String(keys.filter(key => key.startsWith(prefix)).length));
    },
};

const maximumKey: StatementHandler = {
    pattern: compilePattern(`select max\\(key\\) from ${TABLE}`),
    columns: () => ["max"],
    isSlotRequired: true,
    run: (session, match) => createSingleRow([...session.readAll(match[1]!).keys()].sort().at(-1)),
};

const sleep: StatementHandler = {
    pattern: compilePattern("select pg_sleep\\(([0-9.]+)\\)"),
    columns: () => ["pg_sleep"],
    isSlotRequired: true,
    run: async (_session, match) => {
        await new Promise(resolve => setTimeout(resolve, Number(match[1]) * 1_000));
        return createSingleRow("");
    },
};

const repeat: StatementHandler = {
    pattern: compilePattern(`select (?:repeat\\(${TEXT}, (\\d+)\\) from generate_series\\(1, (\\d+)\\)|length\\(${TEXT}\\))`),
    columns: match => [match[2] === undefined ? "length" : "repeat"],
    isSlotRequired: true,
    run: (_session, match) => {
        if (match[2] === undefined) {
            return createSingleRow(String(unquote(match[4]!).length));
        }
        const row = [unquote(match[1]!).repeat(Number(match[2]))];
        return { rows: Array.from({ length: Number(match[3]) }, () => row), tag: `SELECT ${match[3]}` };
    },
};

const literal: StatementHandler = {
    pattern: compilePattern("select (\\d+)(?: as ([a-z]+))?"),
    columns: match => [match[2] ?? "?column?"],
    isSlotRequired: false,
    run: (_session, match) => createSingleRow(match[1]),
};

/** Name of the current WAL file, 8 hexadecimal digits each for timeline, log and segment. Log and segment are always 0 here. */
const walFileName: StatementHandler = {
    pattern: compilePattern("select pg_walfile_name\\(pg_current_wal_insert_lsn\\(\\)\\)"),
    columns: () => ["pg_walfile_name"],
    isSlotRequired: false,
    run: session => createSingleRow(session.instance.timeline.toString(16).toUpperCase().padStart(8, "0").padEnd(24, "0")),
};

const receivedTimeline: StatementHandler = {
    pattern: compilePattern("select received_tli from pg_stat_wal_receiver"),
    columns: () => ["received_tli"],
    isSlotRequired: false,
    run: session => session.instance.isReplica ? createSingleRow(String(session.instance.timeline)) : createEmptyResult("SELECT 0"),
};

/** All handlers, in the order in which their patterns are tried. */
export const statementHandlers: readonly StatementHandler[] = [
    select,
    insert,
    update,
    createFunctionCall("pg_current_wal_insert_lsn", session => formatLogSequenceNumber(session.instance.store.position)),
    createFunctionCall("pg_last_wal_replay_lsn", session => formatLogSequenceNumber(session.instance.store.position)),
    createFunctionCall("pg_last_wal_receive_lsn", session => formatLogSequenceNumber(session.instance.store.position)),
    createFunctionCall("pg_is_in_recovery", session => session.instance.isReplica ? "t" : "f"),
    createFunctionCall("pg_promote", session => {
        session.instance.promote();
        return "t";
    }),
    createFunctionCall("pg_current_timeline", session => String(session.instance.timeline)),
    walFileName,
    receivedTimeline,
    createFunctionCall("pg_reload_conf", () => "t"),
    createCommand("(?:begin|start transaction)(?: .*)?", session => {
        session.begin();
        return "BEGIN";
    }),
    createCommand("(?:commit|end)(?: .*)?", session => session.commit() ? "COMMIT" : "ROLLBACK"),
    createCommand("(?:rollback|abort)(?: .*)?", session => {
        session.rollback();
        return "ROLLBACK";
    }),
    createCommand(`alter system set primary_conninfo = ${TEXT}`, (session, match) => {
        session.instance.upstream = /application_name=(\S+)/.exec(match[1]!)?.[1] ?? "";
        return "ALTER SYSTEM";
    }),
    createCommand("set .*", () => "SET"),
    createCommand("discard all", session => {
        session.rollback();
        return "DISCARD ALL";
    }),
    createCommand("create (?:table|schema) .*", () => "CREATE TABLE"),
    remove,
    count,
    selectAll,
    maximumKey,
    sleep,
    repeat,
    literal,
];
