import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest } from "./SessionState.ts";

/** Time after the deadline in which the holder may still report a definite outcome. */
export const DEADLINE_GRACE_MS = 250;

/** Sets the session's timer to the deadline of the request plus the grace period. */
export const setDeadlineTimer = (current: CurrentRequest): SessionAction => ({
    kind: SessionActionKind.SetTimer,
    atMs: current.deadlineAtMs + DEADLINE_GRACE_MS,
});
