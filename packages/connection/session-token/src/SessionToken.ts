import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** What a session has written: every read of the session must cover it. */
export interface SessionToken {
    /** Position by group. */
    readonly positions: ReadonlyMap<string, LogPosition>;
    /** Whether groups without a position are known to hold no write of the session. */
    readonly isPastKnown: boolean;
}

/** Groups that a token may name, which bounds its size. */
export const TOKEN_GROUP_LIMIT = 32;

/** The token of a session that has written nothing yet. */
export const EMPTY_TOKEN: SessionToken = { positions: new Map(), isPastKnown: true };
