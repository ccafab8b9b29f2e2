import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { PreparedStatement } from "@pomeloturn/statement-session/ConnectionState";
import type { SessionState } from "@pomeloturn/statement-session/SessionState";
import type { RouteEntry } from "@pomeloturn/types/ServiceEntries";
import type { Statement } from "@pomeloturn/types/Statement";

/** A statement under way, with what binds it. */
export interface Operation {
    readonly session: SessionState;
    readonly statement: Statement;
    readonly prepared: PreparedStatement | undefined;
    readonly route: RouteEntry;
    readonly service: ServiceRuntime;
    readonly startedAtMs: number;
    /** Until when a statement that has not been sent may wait. */
    holdUntilMs: number;
    readonly deadlineAtMs: number;
    attempts: number;
    /** Last instance that was tried. */
    instance: string;
    /** Whether the statement has its answer or its caller has gone: nothing more is sent for it. */
    isDone: boolean;
}

/** Share of a statement's time limit for which it may wait without being sent. */
const HOLD_SHARE = 0.4;

/** Time left for the answer's way back before the limit of the route. */
const ANSWER_MARGIN_MS = 10;

export const createOperation = (
    session: SessionState,
    statement: Statement,
    route: RouteEntry,
    service: ServiceRuntime,
    nowMs: number,
): Operation => ({
    session,
    statement,
    prepared: session.preparedStatements.get(statement.name),
    route,
    service,
    startedAtMs: nowMs,
    holdUntilMs: nowMs + route.timeoutMs * HOLD_SHARE,
    deadlineAtMs: nowMs + route.timeoutMs - ANSWER_MARGIN_MS,
    attempts: 0,
    instance: "",
    isDone: false,
});

/** Time for which the statement may still wait without being sent, at least 1 ms. */
export const holdLeftMs = ({ holdUntilMs }: Operation, nowMs: number): number => Math.max(1, holdUntilMs - nowMs);
