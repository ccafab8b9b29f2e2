import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { HEADER_SIZE_BYTES } from "./messageTypes.ts";

const LENGTH_FIELD_SIZE_BYTES = 4;

/** Splits a byte stream into whole messages by type byte and length. */
export class MessageFramer {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;

    private constructor(private readonly maximumMessageBytes: number) {}

    /** @param maximumMessageBytes a longer message is refused with `MessageTooLarge` */
    static create(maximumMessageBytes: number): MessageFramer {
        return new MessageFramer(maximumMessageBytes);
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @returns the messages that are now whole, header included; they share memory with `chunk`
     * @throws PomeloturnError with `MalformedMessage` or `MessageTooLarge`; the stream is then unusable
     */
    push(chunk: Buffer): Buffer[] {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        if (this.bufferedBytes < this.neededBytes()) {
            return [];
        }
        const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks, this.bufferedBytes);
        return this.split(bytes);
    }

    private split(bytes: Buffer): Buffer[] {
        const messages: Buffer[] = [];
        let offset = 0;
        while (bytes.length - offset >= HEADER_SIZE_BYTES) {
            const end = offset + 1 + this.readLength(bytes, offset);
            if (end > bytes.length) {
                break;
            }
            messages.push(bytes.subarray(offset, end));
            offset = end;
        }
        const rest = bytes.subarray(offset);
        this.chunks = rest.length === 0 ? [] : [rest];
        this.bufferedBytes = rest.length;
        return messages;
    }

    /** Size that the buffered bytes must reach before they hold a whole message. */
    private neededBytes(): number {
        const first = this.chunks[0]!;
        if (first.length >= HEADER_SIZE_BYTES) {
            return 1 + this.readLength(first, 0);
        }
        return HEADER_SIZE_BYTES;
    }

    private readLength(bytes: Buffer, offset: number): number {
        const lengthBytes = bytes.readUInt32BE(offset + 1);
        if (lengthBytes < LENGTH_FIELD_SIZE_BYTES) {
            throw PomeloturnError.create(ResultCode.MalformedMessage, `length ${lengthBytes}`);
        }
        if (lengthBytes > this.maximumMessageBytes) {
            throw PomeloturnError.create(ResultCode.MessageTooLarge, `${lengthBytes} bytes`);
        }
        return lengthBytes;
    }
}
