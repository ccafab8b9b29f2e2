import { StatementClass } from "@pomeloturn/types/StatementClass";
import { combineClasses } from "./combineClasses.ts";
import { READ_ONLY_FUNCTIONS } from "./readOnlyFunctions.ts";

/** A node of the parse tree, as JSON. */
export type ParseNode = Readonly<Record<string, unknown>>;

/** Result of the parser for a text of zero or more statements. */
export interface ParseTree {
    readonly stmts?: readonly { readonly stmt?: ParseNode; }[];
}

/** Parse-tree nodes that make a SELECT a write. */
const WRITING_NODES: ReadonlySet<string> = new Set([
    "InsertStmt",
    "UpdateStmt",
    "DeleteStmt",
    "MergeStmt",
    "lockingClause",
    "intoClause",
]);

type StatementHandler = (body: ParseNode) => StatementClass;

const TRANSACTION_CLASSES: Readonly<Record<string, StatementClass>> = {
    TRANS_STMT_BEGIN: StatementClass.Begin,
    TRANS_STMT_START: StatementClass.Begin,
    TRANS_STMT_COMMIT: StatementClass.Commit,
    TRANS_STMT_ROLLBACK: StatementClass.Rollback,
    TRANS_STMT_PREPARE: StatementClass.Unsupported,
    TRANS_STMT_COMMIT_PREPARED: StatementClass.Unsupported,
    TRANS_STMT_ROLLBACK_PREPARED: StatementClass.Unsupported,
};

/** Setting name under which the parser returns SET TRANSACTION, which controls a transaction and is no session setting. */
const TRANSACTION_SETTING = "TRANSACTION";

const classifyTransaction = (body: ParseNode): StatementClass => {
    // COMMIT AND CHAIN opens another transaction, which the session would not track.
    return body["chain"] === true ? StatementClass.Unsupported : TRANSACTION_CLASSES[String(body["kind"])] ?? StatementClass.Write;
};

const classifySetting = (body: ParseNode): StatementClass =>
    body["is_local"] === true || body["name"] === TRANSACTION_SETTING ? StatementClass.Write : StatementClass.SessionSetting;

const statementHandlers: Readonly<Record<string, StatementHandler>> = {
    SelectStmt: body => isReadOnlyTree(body) ? StatementClass.Read : StatementClass.Write,
    TransactionStmt: classifyTransaction,
    VariableSetStmt: classifySetting,
    VariableShowStmt: () => StatementClass.Read,
    DiscardStmt: () => StatementClass.SessionSetting,
    DeallocateStmt: () => StatementClass.SessionSetting,
    PrepareStmt: () => StatementClass.Unsupported,
    ExecuteStmt: () => StatementClass.Unsupported,
    CopyStmt: () => StatementClass.Unsupported,
    ListenStmt: () => StatementClass.Unsupported,
    UnlistenStmt: () => StatementClass.Unsupported,
};

/** Classifies a parsed text by the classes of its statements. */
export const classifyParseTree = (tree: ParseTree): StatementClass =>
    combineClasses(new Set((tree.stmts ?? []).map(({ stmt }) => classifyStatement(stmt ?? {}))));

const classifyStatement = (statement: ParseNode): StatementClass => {
    const [entry] = Object.entries(statement);
    if (entry === undefined) {
        return StatementClass.Write;
    }
    const [kind, body] = entry;
    return statementHandlers[kind]?.(body as ParseNode) ?? StatementClass.Write;
};

const isReadOnlyTree = (value: unknown): boolean => {
    if (Array.isArray(value)) {
        return value.every(isReadOnlyTree);
    }
    if (typeof value !== "object" || value === null) {
        return true;
    }
    return Object.entries(value).every(([key, child]) => isReadOnlyEntry(key, child) && isReadOnlyTree(child));
};

const isReadOnlyEntry = (key: string, child: unknown): boolean => {
    if (WRITING_NODES.has(key)) {
        return false;
    }
    return key !== "FuncCall" || READ_ONLY_FUNCTIONS.has(functionName(child as ParseNode));
};

/** Returns a function's name without its schema; empty for a schema other than pg_catalog. */
const functionName = (call: ParseNode): string => {
    const parts = (call["funcname"] as { readonly String?: { readonly sval?: string; }; }[] | undefined) ?? [];
    const names = parts.map(part => part.String?.sval ?? "");
    if (names.length === 1) {
        return names[0]!;
    }
    return names.length === 2 && names[0] === "pg_catalog" ? names[1]! : "";
};
