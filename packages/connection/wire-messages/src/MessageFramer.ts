import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { HEADER_SIZE_BYTES } from "./messageTypes.ts";

const LENGTH_FIELD_SIZE_BYTES = 4;

/** Splits a byte stream into complete messages by type byte and length field. */
export class MessageFramer {
    private chunks: Buffer[] = [];
    private bufferedSizeBytes = 0;

    private constructor(private readonly maximumMessageBytes: number) {}

    /** @param maximumMessageBytes limit on the length field, above which `push` throws `MessageTooLarge` */
    static create(maximumMessageBytes: number): MessageFramer {
        return new MessageFramer(maximumMessageBytes);
    }

    /**
     * Adds the next bytes of the stream.
     *
     * @returns the messages that are now complete, header included; they may share memory with `chunk`
     * @throws PomeloturnError with `MalformedMessage` or `MessageTooLarge`; the stream is then unusable
     */
    push(chunk: Buffer): Buffer[] {
        this.chunks.push(chunk);
        this.bufferedSizeBytes += chunk.length;
        if (this.bufferedSizeBytes < this.getRequiredSizeBytes()) {
            return [];
        }
        const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks, this.bufferedSizeBytes);
        return this.split(bytes);
    }

    private split(bytes: Buffer): Buffer[] {
        const messages: Buffer[] = [];
        let offset = 0;
        while (bytes.length - offset >= HEADER_SIZE_BYTES) {
            const end = offset + 1 + this.readLengthBytes(bytes, offset);
            if (end > bytes.length) {
                break;
            }
            messages.push(bytes.subarray(offset, end));
            offset = end;
        }
        const remainder = bytes.subarray(offset);
        this.chunks = remainder.length === 0 ? [] : [remainder];
        this.bufferedSizeBytes = remainder.length;
        return messages;
    }

    /** Returns the buffer size that is required before a message can be complete. */
    private getRequiredSizeBytes(): number {
        const first = this.chunks[0]!;
        if (first.length >= HEADER_SIZE_BYTES) {
            return 1 + this.readLengthBytes(first, 0);
        }
        return HEADER_SIZE_BYTES;
    }

    private readLengthBytes(bytes: Buffer, offset: number): number {
        const lengthBytes = bytes.readUInt32BE(offset + 1);
        if (lengthBytes < LENGTH_FIELD_SIZE_BYTES) {
            throw PomeloturnError.create(
                ResultCode.MalformedMessage,
                `message length ${lengthBytes} is below the minimum of ${LENGTH_FIELD_SIZE_BYTES} bytes`,
            );
        }
        if (lengthBytes > this.maximumMessageBytes) {
            throw PomeloturnError.create(
                ResultCode.MessageTooLarge,
                `message length ${lengthBytes} exceeds the limit of ${this.maximumMessageBytes} bytes`,
            );
        }
        return lengthBytes;
    }
}
