import { HEADER_SIZE_BYTES } from "./messageTypes.ts";
import { readCString } from "./readMessage.ts";

/** Statement name and SQL text of a Parse message. */
export interface ParseMessage {
    readonly name: string;
    readonly text: string;
}

/** Reads the statement name and the SQL text of a Parse message. @throws PomeloturnError with `MalformedMessage` */
export const readParse = (message: Buffer): ParseMessage => {
    const name = readCString(message, HEADER_SIZE_BYTES);
    const text = readCString(message, name.end);
    return { name: name.text, text: text.text };
};

/** Reads the name of the prepared statement of a Bind message. @throws PomeloturnError with `MalformedMessage` */
export const readBindStatement = (message: Buffer): string => {
    const portal = readCString(message, HEADER_SIZE_BYTES);
    return readCString(message, portal.end).text;
};

/**
 * Reads the target of a Describe or Close message.
 *
 * @returns kind "S" for a prepared statement or "P" for a portal, and its name
 * @throws PomeloturnError with `MalformedMessage`
 */
export const readStatementOrPortal = (message: Buffer): { readonly kind: string; readonly name: string; } => {
    const kind = String.fromCharCode(message[HEADER_SIZE_BYTES] ?? 0);
    return { kind, name: readCString(message, HEADER_SIZE_BYTES + 1).text };
};

/** Replaces the string at `offset` with the empty string and updates the length field. */
const clearString = (message: Buffer, offset: number): Buffer => {
    const { end } = readCString(message, offset);
    const result = Buffer.concat([message.subarray(0, offset), Buffer.from([0]), message.subarray(end)]);
    result.writeUInt32BE(result.length - 1, 1);
    return result;
};

/** Changes a Parse message to define the unnamed statement. */
export const toUnnamedParse = (message: Buffer): Buffer => clearString(message, HEADER_SIZE_BYTES);

/** Changes a Bind message to refer to the unnamed statement. */
export const toUnnamedBind = (message: Buffer): Buffer => clearString(message, readCString(message, HEADER_SIZE_BYTES).end);

/** Changes a Describe or Close message to refer to the unnamed object of its kind. */
export const toUnnamedDescribe = (message: Buffer): Buffer => clearString(message, HEADER_SIZE_BYTES + 1);
