import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { PreparedStatement } from "./ConnectionContents.ts";

/** State of a caller's session. It exists only on the VM that the caller is connected to. */
export interface SessionState {
    readonly database: string;
    /** Values set by SET, by setting name. */
    readonly values: Map<string, string>;
    readonly prepared: Map<string, PreparedStatement>;
    /** Log position of the session's last commit, by service. */
    readonly ownPositions: Map<string, LogPosition>;
    status: TransactionStatus;
}

export const createSession = (database: string): SessionState => ({
    database,
    values: new Map(),
    prepared: new Map(),
    ownPositions: new Map(),
    status: TransactionStatus.Idle,
});
