/** Constants for what a statement may do. Text that is not understood is a write. */
export const StatementClass = {
    Read: "read",
    Write: "write",
    Begin: "begin",
    BeginReadOnly: "beginReadOnly",
    Commit: "commit",
    Rollback: "rollback",
    SessionSetting: "sessionSetting",
    /** Several statements of which some control a transaction. */
    Mixed: "mixed",
    Unsupported: "unsupported",
} as const;
export type StatementClass = typeof StatementClass[keyof typeof StatementClass];
