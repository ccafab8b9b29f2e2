import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import type { CurrentRequest } from "./SessionState.ts";

/** Messages of a part of an answer that are relayed to the caller. */
export interface FilteredAnswer {
    readonly messages: Uint8Array;
    readonly hasError: boolean;
}

/** Whether the answer may contain replies to messages that the session added, or belongs to a Flush, where errors matter. */
const isFilterNeeded = (current: CurrentRequest): boolean => {
    const { isFirstHidden, isLastHidden } = current.hiddenTags;
    return current.injectedParses.includes(true) || isFirstHidden || isLastHidden || current.unit.isFlush;
};

/** Removes the replies to messages that the session added to the caller's; updates `current` in place. */
export const filterAnswer = (bytes: Uint8Array, isLastPart: boolean, current: CurrentRequest): FilteredAnswer => {
    if (!isFilterNeeded(current)) {
        return { messages: bytes, hasError: false };
    }
    const messages = splitMessages(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
    const hasError = messages.some(message => message[0] === BackendType.ErrorResponse);
    if (isLastPart && current.hiddenTags.isLastHidden && messages.at(-1)?.[0] === BackendType.CommandComplete) {
        messages.pop();
    }
    return { messages: Buffer.concat(messages.filter(message => !isHidden(message, current))), hasError };
};

const isHidden = (message: Buffer, current: CurrentRequest): boolean => {
    if (message[0] === BackendType.ParseComplete) {
        return current.injectedParses.shift() === true;
    }
    if (message[0] === BackendType.CommandComplete && current.hiddenTags.isFirstHidden) {
        current.hiddenTags.isFirstHidden = false;
        return true;
    }
    return false;
};

const splitMessages = (source: Buffer): Buffer[] => {
    const messages: Buffer[] = [];
    let offset = 0;
    while (offset < source.length) {
        const end = offset + 1 + source.readUInt32BE(offset + 1);
        messages.push(source.subarray(offset, end));
        offset = end;
    }
    return messages;
};
