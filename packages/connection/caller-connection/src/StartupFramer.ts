import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";

/** Request codes at the beginning of a start-up packet, which has no type byte. */
export const StartupCode = {
    Protocol30: 196_608,
    Cancel: 80_877_102,
    Ssl: 80_877_103,
    GssEncryption: 80_877_104,
} as const;

const LENGTH_FIELD_SIZE_BYTES = 4;
const CODE_OFFSET = 4;
const PARAMETERS_OFFSET = 8;
const CANCEL_PACKET_SIZE_BYTES = 16;
const MAXIMUM_PACKET_BYTES = 10_000;

/** Splits the bytes received before authentication into packets, and rejects packets that would crash the gateway library. */
export class StartupFramer {
    private bytes: Buffer = Buffer.alloc(0);
    private hasStartupMessage = false;

    private constructor() {}

    static create(): StartupFramer {
        return new StartupFramer();
    }

    /** Adds the next bytes of the stream. */
    push(chunk: Buffer): void {
        this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk]);
    }

    /**
     * Removes and returns the next packet.
     *
     * @returns undefined if the packet is not complete yet
     * @throws PomeloturnError with `MalformedStartup`
     */
    nextPacket(): Buffer | undefined {
        const typeSizeBytes = this.hasStartupMessage ? 1 : 0;
        if (this.bytes.length < typeSizeBytes + LENGTH_FIELD_SIZE_BYTES) {
            return undefined;
        }
        const lengthBytes = this.bytes.readUInt32BE(typeSizeBytes);
        const minimumBytes = this.hasStartupMessage ? LENGTH_FIELD_SIZE_BYTES + 1 : PARAMETERS_OFFSET;
        if (lengthBytes < minimumBytes || lengthBytes > MAXIMUM_PACKET_BYTES) {
            throw PomeloturnError.create(
                ResultCode.MalformedStartup,
                `packet length ${lengthBytes} is outside the range of ${minimumBytes} to ${MAXIMUM_PACKET_BYTES} bytes`,
            );
        }
        const end = typeSizeBytes + lengthBytes;
        if (this.bytes.length < end) {
            return undefined;
        }
        const packet = this.bytes.subarray(0, end);
        this.bytes = this.bytes.subarray(end);
        this.validate(packet);
        return packet;
    }

    /** Removes and returns the bytes after the last packet. */
    takeRemainingBytes(): Buffer {
        const rest = this.bytes;
        this.bytes = Buffer.alloc(0);
        return rest;
    }

    private validate(packet: Buffer): void {
        if (this.hasStartupMessage) {
            validatePasswordMessage(packet);
            return;
        }
        const code = packet.readUInt32BE(CODE_OFFSET);
        const isValid = startupValidators[code];
        if (isValid === undefined || !isValid(packet)) {
            throw PomeloturnError.create(ResultCode.MalformedStartup, `start-up packet with request code ${code} is unknown or malformed`);
        }
        this.hasStartupMessage = code === StartupCode.Protocol30;
    }
}

const startupValidators: Readonly<Record<number, (packet: Buffer) => boolean>> = {
    [StartupCode.Protocol30]: packet => hasParameterPairs(packet),
    [StartupCode.Cancel]: packet => packet.length === CANCEL_PACKET_SIZE_BYTES,
    [StartupCode.Ssl]: packet => packet.length === PARAMETERS_OFFSET,
    [StartupCode.GssEncryption]: packet => packet.length === PARAMETERS_OFFSET,
};

const validatePasswordMessage = (packet: Buffer): void => {
    const isTerminated = packet.indexOf(0, LENGTH_FIELD_SIZE_BYTES + 1) === packet.length - 1;
    if (packet[0] !== FrontendType.Password || !isTerminated) {
        throw PomeloturnError.create(ResultCode.MalformedStartup, "expected a zero-terminated password message");
    }
};

/** Whether the packet consists of pairs of terminated strings, including `user`, and a final zero byte. */
const hasParameterPairs = (packet: Buffer): boolean => {
    const text = packet.toString("utf8", PARAMETERS_OFFSET);
    if (!text.endsWith("\0\0")) {
        return false;
    }
    const strings = text.slice(0, -2).split("\0");
    const names = strings.filter((_each, index) => index % 2 === 0);
    return strings.length % 2 === 0 && names.every(name => name !== "") && names.includes("user");
};
