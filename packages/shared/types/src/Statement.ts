/** Statements of a caller, independent of the wire protocol. */

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

/** A statement, as the caller sent it. */
export interface Statement {
    /** Request id that the caller chose; passed to instances unchanged. */
    readonly id: string;
    readonly kind: StatementKind;
    /** Statement text, which the proxy does not interpret. */
    readonly text: string;
    /** Name of the session setting or prepared statement; empty for other kinds. */
    readonly name: string;
    /** Value of a `Set`, shape of a `Prepare`, arguments of an `Execute`; empty for other kinds. */
    readonly argument: string;
    /** Whether a `Prepare` prepares a write. */
    readonly isWrite: boolean;
}
