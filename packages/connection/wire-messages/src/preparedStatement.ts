import { HEADER_SIZE_BYTES } from "./messageTypes.ts";
import { readCString } from "./readMessage.ts";

/** A Parse message taken apart as far as a proxy needs. */
export interface ParsedParse {
    readonly name: string;
    readonly text: string;
}

/** Reads the statement name and the text of a Parse message. */
export const readParse = (message: Buffer): ParsedParse => {
    const name = readCString(message, HEADER_SIZE_BYTES);
    const text = readCString(message, name.end);
    return { name: name.text, text: text.text };
};

/** Reads the prepared statement's name of a Bind message. */
export const readBindStatement = (message: Buffer): string => {
    const portal = readCString(message, HEADER_SIZE_BYTES);
    return readCString(message, portal.end).text;
};

/** Reads what a Describe or Close names: "S" for a statement, "P" for a portal. */
export const readNamedObject = (message: Buffer): { readonly kind: string; readonly name: string; } => {
    const kind = String.fromCharCode(message[HEADER_SIZE_BYTES] ?? 0);
    return { kind, name: readCString(message, HEADER_SIZE_BYTES + 1).text };
};

/** Replaces a string that starts at `offset` by the empty string and mends the length. */
const emptyString = (message: Buffer, offset: number): Buffer => {
    const { end } = readCString(message, offset);
    const result = Buffer.concat([message.subarray(0, offset), Buffer.from([0]), message.subarray(end)]);
    result.writeUInt32BE(result.length - 1, 1);
    return result;
};

/** Turns a Parse of a named statement into one of the unnamed statement. */
export const unnameParse = (message: Buffer): Buffer => emptyString(message, HEADER_SIZE_BYTES);

/** Turns a Bind of a named statement into one of the unnamed statement. */
export const unnameBind = (message: Buffer): Buffer => emptyString(message, readCString(message, HEADER_SIZE_BYTES).end);

/** Turns a Describe of a named statement into one of the unnamed statement. */
export const unnameDescribe = (message: Buffer): Buffer => emptyString(message, HEADER_SIZE_BYTES + 1);
