import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type AnswerPart, type ForwardRequest, TransactionStatus } from "@pomeloturn/types/Request";

const EMPTY = new Uint8Array(0);

/** Builds the complete answer to a request that ends with a result code instead of the backend server's answer. */
export const failedAnswer = (request: Pick<ForwardRequest, "requestId" | "attempt">, resultCode: ResultCode): AnswerPart => ({
    requestId: request.requestId,
    attempt: request.attempt,
    messages: EMPTY,
    isLast: true,
    resultCode,
    transactionStatus: TransactionStatus.Idle,
    position: { term: 0, position: 0 },
    serviceTimeUs: 0,
});
