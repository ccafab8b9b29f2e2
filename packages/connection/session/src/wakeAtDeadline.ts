import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest } from "./SessionState.ts";

/** Time beyond the deadline in which the holder may still state the certain outcome. */
export const DEADLINE_GRACE_MS = 250;

/** Asks to be woken when the request's deadline has passed without an answer. */
export const wakeAtDeadline = (current: CurrentRequest): SessionAction => ({
    kind: SessionActionKind.Wake,
    atMs: current.deadlineAtMs + DEADLINE_GRACE_MS,
});
