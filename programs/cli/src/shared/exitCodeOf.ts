import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { Effect, type ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import { OperatorAnswerError } from "@pomeloturn/operator-link/OperatorClient";
import { ExitCode } from "./ExitCode.ts";

const exitCodes: Readonly<Record<Effect, ExitCode>> = {
    [Effect.NotRun]: ExitCode.NotRun,
    [Effect.Ran]: ExitCode.Ok,
    [Effect.OutcomeUnknown]: ExitCode.OutcomeUnknown,
};

/** The exit code that an error's number stands for. */
export const exitCodeOf = (error: unknown): ExitCode => {
    if (!(error instanceof PomeloturnError || error instanceof OperatorAnswerError)) {
        return ExitCode.Failed;
    }
    const description = resultTable.get(error.code as ResultCode);
    return description === undefined ? ExitCode.Failed : exitCodes[description.effect];
};
