import type { RoutingStatistics } from "@pomeloturn/choose-instance/RoutingStatistics";
import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { RetryBudget } from "@pomeloturn/plan-retry/retryBudget";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import type { AnswerPart, ForwardRequest } from "@pomeloturn/types/Request";
import type { StatementClass } from "@pomeloturn/types/StatementClass";

/** Constants for `SessionEvent.kind`. */
export const SessionEventKind = {
    Messages: "messages",
    Answer: "answer",
    CallerClosed: "callerClosed",
    Drain: "drain",
    TimerFired: "timerFired",
    CancelRequested: "cancelRequested",
} as const;

/** Input of `stepSession`. */
export type SessionEvent =
    | { readonly kind: typeof SessionEventKind.Messages; readonly messages: readonly Buffer[]; }
    | { readonly kind: typeof SessionEventKind.Answer; readonly part: AnswerPart; }
    | { readonly kind: typeof SessionEventKind.CallerClosed; }
    /** The proxy shuts down: the session ends as soon as it is idle, or now if `isFinal`. */
    | { readonly kind: typeof SessionEventKind.Drain; readonly isFinal: boolean; }
    /** The time of the last SetTimer action has been reached. */
    | { readonly kind: typeof SessionEventKind.TimerFired; }
    | { readonly kind: typeof SessionEventKind.CancelRequested; };

/** Constants for `SessionAction.kind`. */
export const SessionActionKind = {
    Reply: "reply",
    Forward: "forward",
    Cancel: "cancel",
    EndTransaction: "endTransaction",
    Close: "close",
    SetTimer: "setTimer",
    Finished: "finished",
    Record: "record",
} as const;

/** What the caller of `stepSession` has to do. */
export type SessionAction =
    | { readonly kind: typeof SessionActionKind.Reply; readonly messages: readonly Uint8Array[]; }
    | { readonly kind: typeof SessionActionKind.Forward; readonly vm: string; readonly request: ForwardRequest; }
    | { readonly kind: typeof SessionActionKind.Cancel; readonly vm: string; readonly requestId: number; }
    | {
        readonly kind: typeof SessionActionKind.EndTransaction;
        readonly vm: string;
        readonly group: string;
        readonly instance: string;
        readonly transactionId: string;
    }
    | { readonly kind: typeof SessionActionKind.Close; }
    /** Sets the session's only timer to a monotonic time in milliseconds. */
    | { readonly kind: typeof SessionActionKind.SetTimer; readonly atMs: number; }
    /** The caller connection is closed and the session has no request left. */
    | { readonly kind: typeof SessionActionKind.Finished; }
    | {
        readonly kind: typeof SessionActionKind.Record;
        readonly service: string;
        readonly rank: number;
        readonly latencyMs: number;
        readonly code: ResultCode;
        readonly isReplica: boolean;
    };

/** Data and functions besides its own state that a session uses for its decisions. */
export interface SessionContext {
    readonly view: ControlView;
    /** Name of this VM. */
    readonly vm: string;
    /** Failure domain of this VM. */
    readonly failureDomain: string;
    /** Latest instance status, by instance key. */
    readonly statuses: ReadonlyMap<string, InstanceStatus>;
    /** Statistics from the requests of this VM. */
    readonly statistics: RoutingStatistics;
    /** Returns the retry budget of a service on this VM. */
    retryBudget(service: string): RetryBudget;
    /** Returns the class of an SQL text. */
    classify(text: string): StatementClass;
    /** Returns the next request id of this process. */
    takeRequestId(): number;
    /** Returns a random number from 0 to 1. */
    random(): number;
}
