import { DELIVERY_LIMIT_MS } from "@pomeloturn/types/Request";
import { type SessionAction, SessionActionKind } from "./sessionMessages.ts";
import type { CurrentRequest } from "./SessionState.ts";

/** Time after the deadline in which the holder may still report a definite outcome. */
export const DEADLINE_GRACE_MS = 250;

/** Monotonic time in milliseconds at which the request fails. Once the caller has received a part of the answer, it has time to read the rest. */
export const failsAtMs = ({ deadlineAtMs, isAnswerRelayed }: CurrentRequest): number =>
    deadlineAtMs + DEADLINE_GRACE_MS + (isAnswerRelayed ? DELIVERY_LIMIT_MS : 0);

/** Sets the session's timer to the time at which the request fails. */
export const setDeadlineTimer = (current: CurrentRequest): SessionAction => ({
    kind: SessionActionKind.SetTimer,
    atMs: failsAtMs(current),
});
