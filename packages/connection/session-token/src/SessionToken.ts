import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** What a session has written, by group: every read of the session must cover it. */
export type SessionToken = ReadonlyMap<string, LogPosition>;
