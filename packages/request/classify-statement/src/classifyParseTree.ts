import { StatementClass } from "@pomeloturn/types/StatementClass";

/** A node of the parser's tree, as JSON. */
export type ParseNode = Readonly<Record<string, unknown>>;

/** What the parser returns for a text of zero or more statements. */
export interface ParseTree {
    readonly stmts?: readonly { readonly stmt?: ParseNode; }[];
}

/** Functions without side effects that depend only on their arguments, the data and the time. */
const READ_ONLY_FUNCTIONS: ReadonlySet<string> = new Set([
    "abs",
    "array_agg",
    "avg",
    "ceil",
    "coalesce",
    "concat",
    "count",
    "current_database",
    "date_trunc",
    "floor",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "least",
    "left",
    "length",
    "lower",
    "max",
    "min",
    "now",
    "pg_sleep",
    "repeat",
    "replace",
    "right",
    "round",
    "row_number",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
]);

/** Tree nodes that make a SELECT more than a read. */
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

const statementHandlers: Readonly<Record<string, StatementHandler>> = {
    SelectStmt: body => isReadOnlyTree(body) ? StatementClass.Read : StatementClass.Write,
    TransactionStmt: body => TRANSACTION_CLASSES[String(body["kind"])] ?? StatementClass.Write,
    VariableSetStmt: body => body["is_local"] === true ? StatementClass.Write : StatementClass.SessionSetting,
    VariableShowStmt: () => StatementClass.Read,
    CopyStmt: () => StatementClass.Unsupported,
    ListenStmt: () => StatementClass.Unsupported,
    UnlistenStmt: () => StatementClass.Unsupported,
};

/** Classifies a text by its statements; several statements of different classes are a write. */
export const classifyParseTree = (tree: ParseTree): StatementClass => {
    const classes = new Set((tree.stmts ?? []).map(({ stmt }) => classifyStatement(stmt ?? {})));
    if (classes.has(StatementClass.Unsupported)) {
        return StatementClass.Unsupported;
    }
    if (classes.size === 0) {
        return StatementClass.Read;
    }
    return classes.size === 1 ? [...classes][0]! : StatementClass.Write;
};

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

/** The function's name without its schema; empty for names outside pg_catalog. */
const functionName = (call: ParseNode): string => {
    const parts = (call["funcname"] as { readonly String?: { readonly sval?: string; }; }[] | undefined) ?? [];
    const names = parts.map(part => part.String?.sval ?? "");
    if (names.length === 1) {
        return names[0]!;
    }
    return names.length === 2 && names[0] === "pg_catalog" ? names[1]! : "";
};
