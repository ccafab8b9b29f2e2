import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { HEADER_SIZE_BYTES } from "./messageTypes.ts";

/**
 * Reads a zero-terminated UTF-8 string.
 *
 * @returns the text and the offset after its terminator
 * @throws PomeloturnError with `MalformedMessage` if the terminator is missing
 */
export const readCString = (message: Buffer, offset: number): { readonly text: string; readonly end: number; } => {
    const terminator = message.indexOf(0, offset);
    if (terminator === -1) {
        throw PomeloturnError.create(ResultCode.MalformedMessage, `the string at offset ${offset} has no zero terminator`);
    }
    return { text: message.toString("utf8", offset, terminator), end: terminator + 1 };
};

/** Reads the SQL text of a Query message. @throws PomeloturnError with `MalformedMessage` */
export const readQueryText = (message: Buffer): string => readCString(message, HEADER_SIZE_BYTES).text;

/** Reads the transaction status of a ReadyForQuery message: "I", "T" or "E". */
export const readTransactionStatus = (message: Buffer): string => String.fromCharCode(message[HEADER_SIZE_BYTES] ?? 0);

/** Reads the first column of a DataRow message in text format. @returns undefined if it is NULL or missing */
export const readFirstColumn = (message: Buffer): string | undefined => {
    const columnCount = message.readInt16BE(HEADER_SIZE_BYTES);
    const sizeOffset = HEADER_SIZE_BYTES + 2;
    if (columnCount < 1) {
        return undefined;
    }
    const sizeBytes = message.readInt32BE(sizeOffset);
    return sizeBytes < 0 ? undefined : message.toString("utf8", sizeOffset + 4, sizeOffset + 4 + sizeBytes);
};

/** Reads the SQLSTATE of an ErrorResponse message. @returns undefined if it has none */
export const readSqlState = (message: Buffer): string | undefined => {
    let offset = HEADER_SIZE_BYTES;
    while (offset < message.length && message[offset] !== 0) {
        const field = readCString(message, offset + 1);
        if (message[offset] === 0x43) {
            return field.text;
        }
        offset = field.end;
    }
    return undefined;
};
