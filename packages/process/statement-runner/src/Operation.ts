import type { ServiceRuntime } from "@pomeloturn/service-directory/ServiceRuntime";
import type { PreparedStatement } from "@pomeloturn/statement-session/ConnectionState";
import type { SessionState } from "@pomeloturn/statement-session/SessionState";
import type { RouteEntry } from "@pomeloturn/types/ServiceEntries";
import type { Statement } from "@pomeloturn/types/Statement";

/** A statement in progress, with its session, route and time limits. */
export interface Operation {
    readonly session: SessionState;
    readonly statement: Statement;
    readonly prepared: PreparedStatement | undefined;
    readonly route: RouteEntry;
    readonly service: ServiceRuntime;
    /** Team of the caller, or `NO_TEAM`. Only connections that were opened under it are used. */
    readonly identity: string;
    readonly startedAtMs: number;
    /** Monotonic time until which the statement may wait before it is first sent. */
    sendDeadlineAtMs: number;
    readonly deadlineAtMs: number;
    /** Time after which the caller may retry, as known when the statement's waiting time was ended early; otherwise undefined. */
    retryAfterMs: number | undefined;
    attempts: number;
    /** Id of the last instance that was tried; empty before the first attempt. */
    instance: string;
    /** Whether the statement has been answered or its caller has disconnected; nothing more is sent for it then. */
    isDone: boolean;
}

/** Share of a statement's time limit for which it may wait before it is first sent. */
const SEND_WAIT_SHARE = 0.4;

/** Part of the route's time limit that is reserved for returning the answer to the caller. */
const ANSWER_MARGIN_MS = 10;

export const createOperation = (
    session: SessionState,
    statement: Statement,
    route: RouteEntry,
    service: ServiceRuntime,
    identity: string,
    nowMs: number,
): Operation => ({
    session,
    statement,
    prepared: session.preparedStatements.get(statement.name),
    route,
    service,
    identity,
    startedAtMs: nowMs,
    sendDeadlineAtMs: nowMs + route.timeoutMs * SEND_WAIT_SHARE,
    deadlineAtMs: nowMs + route.timeoutMs - ANSWER_MARGIN_MS,
    retryAfterMs: undefined,
    attempts: 0,
    instance: "",
    isDone: false,
});

/** Time in milliseconds for which the statement may still wait before it is first sent, at least 1. */
export const sendTimeLeftMs = ({ sendDeadlineAtMs }: Operation, nowMs: number): number => Math.max(1, sendDeadlineAtMs - nowMs);
