import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";

const BEGIN = /^(?:\s|\/\*.*?\*\/)*(?:begin|start\s+transaction)\b/is;
/** Length of the text that is examined: a leading comment and the first words. */
const TEXT_LIMIT_BYTES = 1_024;

/** Whether the frontend messages begin a transaction. A transaction keeps its connection until it ends. */
export const opensTransaction = (messages: Uint8Array): boolean => {
    const type = messages[0];
    if (type !== FrontendType.Query && type !== FrontendType.Parse) {
        return false;
    }
    const text = Buffer.from(messages.buffer, messages.byteOffset, messages.byteLength).toString("latin1", 5, 5 + TEXT_LIMIT_BYTES);
    return BEGIN.test(type === FrontendType.Parse ? text.slice(text.indexOf("\0") + 1) : text);
};
