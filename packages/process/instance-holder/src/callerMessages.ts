import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { readParse } from "@pomeloturn/wire-messages/preparedStatement";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";

/** Matches the text of statements that may change session state beyond the end of their transaction. */
const SESSION_STATE = /advisory|set_config|\btemp(?:orary)?\b|\bpg_temp|with\s+hold|^\s*load\b/i;

/** Splits the bytes of a request into protocol messages. */
export const splitMessages = (bytes: Uint8Array): Buffer[] => {
    const source = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const messages: Buffer[] = [];
    let offset = 0;
    while (offset < source.length) {
        const end = offset + 1 + source.readUInt32BE(offset + 1);
        messages.push(source.subarray(offset, end));
        offset = end;
    }
    return messages;
};

/** Returns the number of ReadyForQuery messages that answer the messages of a request. */
export const countSteps = (bytes: Uint8Array): number =>
    splitMessages(bytes).filter(message => message[0] === FrontendType.Query || message[0] === FrontendType.Sync).length;

type TextReader = (message: Buffer) => string;

const textReaders: Readonly<Record<number, TextReader>> = {
    [FrontendType.Query]: readQueryText,
    [FrontendType.Parse]: message => readParse(message).text,
};

/** Returns the statement text of a Query or Parse message; undefined for other messages. */
export const readStatementText = (message: Buffer): string | undefined => textReaders[message[0]!]?.(message);

/** Whether a connection may keep session state after these messages. */
export const leavesSessionState = (bytes: Uint8Array): boolean =>
    splitMessages(bytes).some(message => SESSION_STATE.test(readStatementText(message) ?? ""));
