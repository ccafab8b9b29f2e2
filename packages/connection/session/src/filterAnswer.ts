import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import type { CurrentRequest } from "./SessionState.ts";

/** What is relayed of a part of an answer. */
export interface FilteredAnswer {
    readonly messages: Uint8Array;
    readonly hasError: boolean;
}

/** Whether a part may hold messages that answer what the caller did not send, or that matter to a Flush. */
const needsFilter = (current: CurrentRequest): boolean => {
    const { isFirstHidden, isLastHidden } = current.hiddenTags;
    return current.injectedParses.includes(true) || isFirstHidden || isLastHidden || current.unit.isFlush;
};

/** Removes the answers to messages that the session added to the caller's. */
export const filterAnswer = (bytes: Uint8Array, isLastPart: boolean, current: CurrentRequest): FilteredAnswer => {
    if (!needsFilter(current)) {
        return { messages: bytes, hasError: false };
    }
    const frames = splitFrames(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
    const hasError = frames.some(frame => frame[0] === BackendType.ErrorResponse);
    if (isLastPart && current.hiddenTags.isLastHidden && frames.at(-1)?.[0] === BackendType.CommandComplete) {
        frames.pop();
    }
    return { messages: Buffer.concat(frames.filter(frame => !isHidden(frame, current))), hasError };
};

const isHidden = (frame: Buffer, current: CurrentRequest): boolean => {
    if (frame[0] === BackendType.ParseComplete) {
        return current.injectedParses.shift() === true;
    }
    if (frame[0] === BackendType.CommandComplete && current.hiddenTags.isFirstHidden) {
        current.hiddenTags.isFirstHidden = false;
        return true;
    }
    return false;
};

const splitFrames = (source: Buffer): Buffer[] => {
    const frames: Buffer[] = [];
    let offset = 0;
    while (offset < source.length) {
        const end = offset + 1 + source.readUInt32BE(offset + 1);
        frames.push(source.subarray(offset, end));
        offset = end;
    }
    return frames;
};
