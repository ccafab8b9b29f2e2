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
    Woken: "woken",
    CancelRequested: "cancelRequested",
} as const;

/** What happens to a session. */
export type SessionEvent =
    | { readonly kind: typeof SessionEventKind.Messages; readonly messages: readonly Buffer[]; }
    | { readonly kind: typeof SessionEventKind.Answer; readonly part: AnswerPart; }
    | { readonly kind: typeof SessionEventKind.CallerClosed; }
    /** The proxy shuts down: the session ends when it is idle, or now if `isFinal`. */
    | { readonly kind: typeof SessionEventKind.Drain; readonly isFinal: boolean; }
    /** The time of the last Wake action has come. */
    | { readonly kind: typeof SessionEventKind.Woken; }
    | { readonly kind: typeof SessionEventKind.CancelRequested; };

/** Constants for `SessionAction.kind`. */
export const SessionActionKind = {
    Reply: "reply",
    Forward: "forward",
    Cancel: "cancel",
    EndTransaction: "endTransaction",
    Close: "close",
    Wake: "wake",
    Finished: "finished",
    Record: "record",
} as const;

/** What the shell of a session is to do. */
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
    /** Sets the session's one timer anew. */
    | { readonly kind: typeof SessionActionKind.Wake; readonly atMs: number; }
    /** The caller has gone and nothing of the session is under way. */
    | { readonly kind: typeof SessionActionKind.Finished; }
    | {
        readonly kind: typeof SessionActionKind.Record;
        readonly service: string;
        readonly rank: number;
        readonly latencyMs: number;
        readonly code: ResultCode;
        readonly isReplica: boolean;
    };

/** What a session decides by, besides its own state. */
export interface SessionContext {
    readonly view: ControlView;
    /** Name and failure domain of this VM. */
    readonly vm: string;
    readonly failureDomain: string;
    readonly statuses: ReadonlyMap<string, InstanceStatus>;
    /** What this VM has learned from its own requests. */
    readonly knowledge: RoutingStatistics;
    /** Retries that a service may still make on this VM. */
    retryBudget(service: string): RetryBudget;
    classify(text: string): StatementClass;
    /** Next request id of the process. */
    takeRequestId(): number;
    /** Seeded or system random number, 0 to 1. */
    random(): number;
}
