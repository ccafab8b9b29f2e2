/** Statements of a caller, independent of the protocol that carried them. */

/** Constants for `Statement.kind`. */
export const StatementKind = {
    Begin: "begin",
    BeginRead: "beginRead",
    Commit: "commit",
    Rollback: "rollback",
    Read: "read",
    Write: "write",
    Set: "set",
    Prepare: "prepare",
    Execute: "execute",
    Close: "close",
    Malformed: "malformed",
} as const;
export type StatementKind = typeof StatementKind[keyof typeof StatementKind];

/** One statement as the caller sent it. */
export interface Statement {
    /** The caller's id of the request; instances get it unchanged. */
    readonly id: string;
    readonly kind: StatementKind;
    /** The statement's text, opaque to the product. */
    readonly text: string;
    /** Name of the session value or of the prepared statement; empty for other kinds. */
    readonly name: string;
    /** Value of a `Set`, shape of a `Prepare`, arguments of an `Execute`; empty for other kinds. */
    readonly argument: string;
    /** Whether a `Prepare` prepares a write. */
    readonly isWrite: boolean;
}
