import type { pomeloturn } from "@pomeloturn/peer-messages/generated/peer";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import type { AnswerPart, ForwardRequest, RequestMode, TransactionStatus } from "@pomeloturn/types/Request";

const EMPTY_BYTES = new Uint8Array(0);

const toPosition = (position: pomeloturn.peer.IPosition | null | undefined): LogPosition => ({
    term: position?.term ?? 0,
    position: position?.position ?? 0,
});

/** Converts a peer message to a request. Absent fields get their protobuf default values. */
export const toForwardRequest = (message: pomeloturn.peer.IForward): ForwardRequest => ({
    requestId: message.requestId ?? 0,
    attempt: message.attempt ?? 0,
    service: message.service ?? "",
    group: message.group ?? "",
    instance: message.instance ?? "",
    rank: message.rank ?? 0,
    mode: (message.mode ?? 0) as RequestMode,
    deadlineLeftMs: message.deadlineLeftMs ?? 0,
    term: message.term ?? 0,
    requiredPosition: toPosition(message.requiredPosition),
    maximumAgeMs: message.maximumAgeMs ?? 0,
    transactionId: message.transactionId ?? "",
    idempotencyKey: message.idempotencyKey ?? "",
    messages: message.messages ?? EMPTY_BYTES,
});

/** Converts a peer message to a part of an answer. Absent fields get their protobuf default values. */
export const toAnswerPart = (message: pomeloturn.peer.IAnswer): AnswerPart => ({
    requestId: message.requestId ?? 0,
    attempt: message.attempt ?? 0,
    messages: message.messages ?? EMPTY_BYTES,
    isLast: message.isLast ?? false,
    resultCode: message.resultCode ?? 0,
    transactionStatus: (message.transactionStatus ?? "I") as TransactionStatus,
    position: toPosition(message.position),
    serviceTimeUs: message.serviceTimeUs ?? 0,
});
