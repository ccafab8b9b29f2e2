import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { PreparedStatement } from "./ConnectionContents.ts";

/** What a caller's session has set up. It lives on this VM only. */
export interface SessionState {
    readonly database: string;
    readonly values: Map<string, string>;
    readonly prepared: Map<string, PreparedStatement>;
    /** Position of the session's last commit, by service. */
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
