import { stripTrailingComment } from "@pomeloturn/classify-statement/trailingComment";
import type { ForwardRequest } from "@pomeloturn/types/Request";
import { createHash } from "node:crypto";
import { serialize } from "pg-protocol";
import { readStatementText, splitMessages } from "./callerMessages.ts";

/** Largest answer that is recorded with a write. */
const RECORDED_ANSWER_LIMIT_BYTES = 64 * 1024;

/** Constants for what a record says of the write's answer. */
const RecordedAnswer = {
    /** The answer follows. */
    Whole: "whole",
    /** The write is part of a longer transaction, or its answer was too large. */
    None: "none",
} as const;
type RecordedAnswer = typeof RecordedAnswer[keyof typeof RecordedAnswer];

/** What is recorded of a write under its request id. */
export interface RequestRecord {
    readonly fingerprint: string;
    /** Undefined when it was not recorded. */
    readonly answer: Buffer | undefined;
}

const quote = (text: string): string => `'${text.replaceAll("'", "''")}'`;

const recordKey = ({ service, idempotencyKey }: ForwardRequest): string => quote(`${service}/${idempotencyKey}`);

/** Identifies the statement and its parameters, without the comment that carries the attributes. */
export const fingerprintRequest = (request: ForwardRequest): string => {
    const hash = createHash("sha256");
    for (const message of splitMessages(request.messages)) {
        const text = readStatementText(message);
        hash.update(text === undefined ? message : `${message[0]} ${stripTrailingComment(text)}\0`);
    }
    return hash.digest("hex").slice(0, 32);
};

/** Writes the record before the statement runs. It fails when there is one already. */
export const buildRecordInsert = (request: ForwardRequest): Buffer => {
    const value = `${fingerprintRequest(request)}:${RecordedAnswer.None}:`;
    return serialize.query(`INSERT INTO pomeloturn_request (key, value) VALUES (${recordKey(request)}, ${quote(value)})`);
};

/** Adds the answer to the record. @param answer undefined when it has been relayed in parts */
export const buildRecordUpdate = (request: ForwardRequest, answer: Buffer | undefined): Buffer => {
    const isRecorded = answer !== undefined && answer.length <= RECORDED_ANSWER_LIMIT_BYTES;
    const kind: RecordedAnswer = isRecorded ? RecordedAnswer.Whole : RecordedAnswer.None;
    const value = `${fingerprintRequest(request)}:${kind}:${isRecorded ? answer.toString("base64") : ""}`;
    return serialize.query(`UPDATE pomeloturn_request SET value = ${quote(value)} WHERE key = ${recordKey(request)}`);
};

export const buildRecordSelect = (request: ForwardRequest): Buffer =>
    serialize.query(`SELECT value FROM pomeloturn_request WHERE key = ${recordKey(request)}`);

/** Reads the value of a record. */
export const readRecord = (value: string): RequestRecord => {
    const [fingerprint = "", kind, answer = ""] = value.split(":");
    return { fingerprint, answer: kind === RecordedAnswer.Whole ? Buffer.from(answer, "base64") : undefined };
};
