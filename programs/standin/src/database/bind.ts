import { HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { readCString } from "@pomeloturn/wire-messages/readMessage";

/** A portal: the text with its parameters in place. */
export interface BoundPortal {
    readonly text: string;
}

/** A Bind message with parameters in text format. */
export interface BindRequest {
    readonly portal: string;
    readonly statement: string;
    readonly parameters: readonly (string | undefined)[];
}

/** Reads a Bind message. */
export const readBind = (message: Buffer): BindRequest => {
    const portal = readCString(message, HEADER_SIZE_BYTES);
    const statement = readCString(message, portal.end);
    let offset = statement.end + 2 + 2 * message.readInt16BE(statement.end);
    const parameters: (string | undefined)[] = [];
    const count = message.readInt16BE(offset);
    offset += 2;
    for (let index = 0; index < count; index++) {
        const sizeBytes = message.readInt32BE(offset);
        offset += 4;
        parameters.push(sizeBytes < 0 ? undefined : message.toString("utf8", offset, offset + sizeBytes));
        offset += Math.max(0, sizeBytes);
    }
    return { portal: portal.text, statement: statement.text, parameters };
};

/** Puts parameters in place as literals; one that is not given becomes an empty text. */
export const substituteParameters = (text: string, parameters: readonly (string | undefined)[]): string =>
    text.replaceAll(/\$(\d+)(?:::[a-z]+)?/g, (_match, index: string) => `'${(parameters[Number(index) - 1] ?? "").replaceAll("'", "''")}'`);
