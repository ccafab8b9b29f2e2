import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";

/** What to do after the reply to an attempt. */
export const Verdict = {
    /** Return the reply to the caller. */
    Answer: "answer",
    /** Send the statement again: it did not run, or it only reads. */
    Again: "again",
} as const;
export type Verdict = typeof Verdict[keyof typeof Verdict];

/** Result codes that guarantee that the statement did not run. */
const NOT_RUN_CODES: ReadonlySet<number> = new Set<number>([
    ResultCode.QueueFull,
    ResultCode.UnknownPreparedStatement,
    ResultCode.ReplicaBehind,
    ResultCode.NotPrimary,
]);

/** Result codes of a read that another attempt would not change. */
const FINAL_READ_CODES: ReadonlySet<number> = new Set<number>([ResultCode.Ok, ResultCode.MalformedMessage]);

/** Decides whether a read is retried. */
export const judgeRead = ({ code }: InstanceReply): Verdict => FINAL_READ_CODES.has(code) ? Verdict.Answer : Verdict.Again;

/** Decides whether a write or commit is retried: only if it is certain that it did not run. */
export const judgeWrite = ({ code }: InstanceReply): Verdict => NOT_RUN_CODES.has(code) ? Verdict.Again : Verdict.Answer;

/** Returns the caller's result code for a write. A lost connection leaves the outcome unknown. */
export const writeCode = ({ code }: InstanceReply): number => code === ResultCode.BackendLost ? ResultCode.OutcomeUnknown : code;
