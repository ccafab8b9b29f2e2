import { stripTrailingComment } from "@pomeloturn/classify-statement/trailingComment";
import type { ForwardRequest } from "@pomeloturn/types/Request";
import { createHash } from "node:crypto";
import { serialize } from "pg-protocol";
import { readStatementText, splitMessages } from "./callerMessages.ts";

/** Largest answer that is stored with the record of a write. */
const RECORDED_ANSWER_LIMIT_BYTES = 64 * 1024;

/** Constants that state whether a record contains the answer to the write. */
const RecordedAnswer = {
    /** The complete answer follows. */
    Whole: "whole",
    /** There is no answer, because the write is part of a caller's transaction or its answer was too large. */
    None: "none",
} as const;
type RecordedAnswer = typeof RecordedAnswer[keyof typeof RecordedAnswer];

/** Record of a write, stored in the database under its request id (idempotency key). */
export interface RequestRecord {
    /** Hash of the statement and its parameters. */
    readonly fingerprint: string;
    /** Undefined when the answer was not recorded. */
    readonly answer: Buffer | undefined;
}

const quote = (text: string): string => `'${text.replaceAll("'", "''")}'`;

const recordKey = ({ service, idempotencyKey }: ForwardRequest): string => quote(`${service}/${idempotencyKey}`);

/** Returns a hash of the statement and its parameters, without the trailing comment that contains the request attributes. */
export const fingerprintRequest = (request: ForwardRequest): string => {
    const hash = createHash("sha256");
    for (const message of splitMessages(request.messages)) {
        const text = readStatementText(message);
        hash.update(text === undefined ? message : `${message[0]} ${stripTrailingComment(text)}\0`);
    }
    return hash.digest("hex").slice(0, 32);
};

/** Builds the query that inserts the record before the statement runs. It fails when a record with the key exists. */
export const buildRecordInsert = (request: ForwardRequest): Buffer => {
    const value = `${fingerprintRequest(request)}:${RecordedAnswer.None}:`;
    return serialize.query(`INSERT INTO pomeloturn_request (key, value) VALUES (${recordKey(request)}, ${quote(value)})`);
};

/** Builds the query that adds the answer to the record. @param answer undefined when it has been relayed in parts */
export const buildRecordUpdate = (request: ForwardRequest, answer: Buffer | undefined): Buffer => {
    const isRecorded = answer !== undefined && answer.length <= RECORDED_ANSWER_LIMIT_BYTES;
    const kind: RecordedAnswer = isRecorded ? RecordedAnswer.Whole : RecordedAnswer.None;
    const value = `${fingerprintRequest(request)}:${kind}:${isRecorded ? answer.toString("base64") : ""}`;
    return serialize.query(`UPDATE pomeloturn_request SET value = ${quote(value)} WHERE key = ${recordKey(request)}`);
};

export const buildRecordSelect = (request: ForwardRequest): Buffer =>
    serialize.query(`SELECT value FROM pomeloturn_request WHERE key = ${recordKey(request)}`);

/** Parses the stored value of a record. */
export const readRecord = (value: string): RequestRecord => {
    const [fingerprint = "", kind, answer = ""] = value.split(":");
    return { fingerprint, answer: kind === RecordedAnswer.Whole ? Buffer.from(answer, "base64") : undefined };
};
