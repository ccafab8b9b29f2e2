import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { Effect, type ResultCode } from "@pomeloturn/errors/ResultCode";
import { resultTable } from "@pomeloturn/errors/resultTable";
import { OperatorAnswerError } from "@pomeloturn/operator-link/OperatorClient";
import { ExitCode } from "./ExitCode.ts";

const exitCodeByEffect: Readonly<Record<Effect, ExitCode>> = {
    [Effect.NotRun]: ExitCode.NotRun,
    [Effect.Ran]: ExitCode.Ok,
    [Effect.OutcomeUnknown]: ExitCode.OutcomeUnknown,
};

/** Maps an error to an exit code by the effect of its result code. An error without a known result code gives `Failed`. */
export const mapErrorToExitCode = (error: unknown): ExitCode => {
    if (!(error instanceof PomeloturnError || error instanceof OperatorAnswerError)) {
        return ExitCode.Failed;
    }
    const result = resultTable.get(error.code as ResultCode);
    return result === undefined ? ExitCode.Failed : exitCodeByEffect[result.effect];
};
