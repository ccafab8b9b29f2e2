/** Classes of statements by what they may do. Text that cannot be parsed is classed as a write. */
export const StatementClass = {
    Read: "read",
    Write: "write",
    Begin: "begin",
    BeginReadOnly: "beginReadOnly",
    Commit: "commit",
    Rollback: "rollback",
    SessionSetting: "sessionSetting",
    /** Several statements in one text, at least one of which controls a transaction or changes a session setting. */
    Mixed: "mixed",
    Unsupported: "unsupported",
} as const;
export type StatementClass = typeof StatementClass[keyof typeof StatementClass];
