import { HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { readCString } from "@pomeloturn/wire-messages/readMessage";

/** Portal: the text of a statement with its parameters inserted. */
export interface BoundPortal {
    readonly text: string;
}

/** Contents of a Bind message. Parameters are in text format, undefined for NULL. */
export interface BindRequest {
    readonly portal: string;
    readonly statement: string;
    readonly parameters: readonly (string | undefined)[];
}

/** Parses a Bind message. */
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

/** Replaces each `$n` by its parameter as a quoted literal. A missing or NULL parameter becomes an empty string. */
export const substituteParameters = (text: string, parameters: readonly (string | undefined)[]): string =>
    text.replaceAll(/\$(\d+)(?:::[a-z]+)?/g, (_match, index: string) => `'${(parameters[Number(index) - 1] ?? "").replaceAll("'", "''")}'`);
