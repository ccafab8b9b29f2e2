import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { PreparedStatement } from "./ConnectionState.ts";

/** State of a caller's session. It exists only on the VM that the caller is connected to. */
export interface SessionState {
    readonly database: string;
    /** Values set by SET, by setting name. */
    readonly settings: Map<string, string>;
    readonly preparedStatements: Map<string, PreparedStatement>;
    /** Log position of the session's last commit, by service. */
    readonly commitPositions: Map<string, LogPosition>;
    /** Characters in the names and values of settings and prepared statements. */
    storedLength: number;
    status: TransactionStatus;
}

export const createSession = (database: string): SessionState => ({
    database,
    settings: new Map(),
    preparedStatements: new Map(),
    commitPositions: new Map(),
    storedLength: 0,
    status: TransactionStatus.Idle,
});

/** Memory of an entry of a map besides its characters. */
const ENTRY_BYTES = 128;

/** @returns the memory that the state takes, in bytes */
export const measureStored = ({ database, settings, preparedStatements, storedLength }: SessionState): number =>
    database.length + storedLength + ENTRY_BYTES * (settings.size + preparedStatements.size);
