import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** Log positions of a session's writes. Every read of the session must see data up to these positions. */
export interface SessionToken {
    /** Latest written position by database group, least recently written group first. */
    readonly positions: ReadonlyMap<string, LogPosition>;
    /** Whether the session has written to no group other than those in `positions`. */
    readonly isComplete: boolean;
}

/** Maximum number of groups in a token, which bounds its size. */
export const TOKEN_GROUP_LIMIT = 32;

/** Token of a session without any writes. */
export const EMPTY_TOKEN: SessionToken = { positions: new Map(), isComplete: true };
