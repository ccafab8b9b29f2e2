import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";

/** Constants for what follows an attempt. */
export const Verdict = {
    /** The reply goes to the caller. */
    Answer: "answer",
    /** The statement did not run, or only reads: it may be sent again. */
    Again: "again",
} as const;
export type Verdict = typeof Verdict[keyof typeof Verdict];

/** Replies after which a statement surely did not run. */
const NOT_RUN_CODES: ReadonlySet<number> = new Set<number>([
    ResultCode.QueueFull,
    ResultCode.UnknownPreparedStatement,
    ResultCode.ReplicaBehind,
    ResultCode.NotPrimary,
]);

/** Replies to a read that another attempt would only repeat. */
const FINAL_READ_CODES: ReadonlySet<number> = new Set<number>([ResultCode.Ok, ResultCode.MalformedMessage]);

/** Decides what follows the reply to a read. */
export const judgeRead = ({ code }: InstanceReply): Verdict => FINAL_READ_CODES.has(code) ? Verdict.Answer : Verdict.Again;

/** Decides what follows the reply to a write or commit: only what surely did not run is sent again. */
export const judgeWrite = ({ code }: InstanceReply): Verdict => NOT_RUN_CODES.has(code) ? Verdict.Again : Verdict.Answer;

/** The code of a write's reply for the caller: a lost reply leaves the outcome open. */
export const writeCode = ({ code }: InstanceReply): number => code === ResultCode.BackendLost ? ResultCode.OutcomeUnknown : code;
