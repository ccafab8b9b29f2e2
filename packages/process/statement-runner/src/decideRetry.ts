import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";

/** What to do after the reply to an attempt. */
export const RetryDecision = {
    /** Return the reply to the caller. */
    Return: "return",
    /** Send the statement again: it did not run, or it only reads. */
    Retry: "retry",
} as const;
export type RetryDecision = typeof RetryDecision[keyof typeof RetryDecision];

/** Result codes that guarantee that the statement did not run. */
const NOT_RUN_CODES: ReadonlySet<number> = new Set<number>([
    ResultCode.QueueFull,
    ResultCode.UnknownPreparedStatement,
    ResultCode.ReplicaBehind,
    ResultCode.NotPrimary,
]);

/** Whether the reply guarantees that its statement did not run. */
export const isCertainlyNotRun = ({ code }: InstanceReply): boolean => NOT_RUN_CODES.has(code);

/** Result codes of a read that another attempt would not change. */
const FINAL_READ_CODES: ReadonlySet<number> = new Set<number>([ResultCode.Ok, ResultCode.MalformedMessage]);

/** Decides whether a read is retried. */
export const decideReadRetry = ({ code }: InstanceReply): RetryDecision =>
    FINAL_READ_CODES.has(code) ? RetryDecision.Return : RetryDecision.Retry;

/** Decides whether a write or commit is retried: only if it is certain that it did not run. */
export const decideWriteRetry = ({ code }: InstanceReply): RetryDecision =>
    NOT_RUN_CODES.has(code) ? RetryDecision.Retry : RetryDecision.Return;

/** Returns the caller's result code for a write. A lost connection leaves the outcome unknown. */
export const toWriteResultCode = ({ code }: InstanceReply): number => code === ResultCode.BackendLost ? ResultCode.OutcomeUnknown : code;
