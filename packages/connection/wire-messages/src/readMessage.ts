import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { HEADER_SIZE_BYTES } from "./messageTypes.ts";

/**
 * Reads a zero-terminated string.
 *
 * @returns the text and the offset after its terminator
 * @throws PomeloturnError with `MalformedMessage` when the terminator is missing
 */
export const readCString = (message: Buffer, offset: number): { readonly text: string; readonly end: number; } => {
    const terminator = message.indexOf(0, offset);
    if (terminator === -1) {
        throw PomeloturnError.create(ResultCode.MalformedMessage, "a string is not terminated");
    }
    return { text: message.toString("utf8", offset, terminator), end: terminator + 1 };
};

/** Reads the text of a Query message. */
export const readQueryText = (message: Buffer): string => readCString(message, HEADER_SIZE_BYTES).text;

/** Reads the status byte of a ReadyForQuery. */
export const readTransactionStatus = (message: Buffer): string => String.fromCharCode(message[HEADER_SIZE_BYTES] ?? 0);

/** Reads the first column of a DataRow in text format; undefined when it is NULL or missing. */
export const readFirstColumn = (message: Buffer): string | undefined => {
    const columnCount = message.readInt16BE(HEADER_SIZE_BYTES);
    const sizeOffset = HEADER_SIZE_BYTES + 2;
    if (columnCount < 1) {
        return undefined;
    }
    const sizeBytes = message.readInt32BE(sizeOffset);
    return sizeBytes < 0 ? undefined : message.toString("utf8", sizeOffset + 4, sizeOffset + 4 + sizeBytes);
};

/** Reads the SQLSTATE of an ErrorResponse; undefined when it has none. */
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
