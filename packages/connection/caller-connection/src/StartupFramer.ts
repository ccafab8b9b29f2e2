import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";

/** Constants for the code that an untyped start-up packet begins with. */
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

/** Splits the bytes before authentication into packets and refuses what the gateway library would not survive. */
export class StartupFramer {
    private bytes: Buffer = Buffer.alloc(0);
    private hasStarted = false;

    private constructor() {}

    static create(): StartupFramer {
        return new StartupFramer();
    }

    push(chunk: Buffer): void {
        this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk]);
    }

    /**
     * Takes the next whole packet; undefined when it has not come yet.
     *
     * @throws PomeloturnError with `MalformedStartup`
     */
    next(): Buffer | undefined {
        const typeSizeBytes = this.hasStarted ? 1 : 0;
        if (this.bytes.length < typeSizeBytes + LENGTH_FIELD_SIZE_BYTES) {
            return undefined;
        }
        const lengthBytes = this.bytes.readUInt32BE(typeSizeBytes);
        const minimumBytes = this.hasStarted ? LENGTH_FIELD_SIZE_BYTES + 1 : PARAMETERS_OFFSET;
        if (lengthBytes < minimumBytes || lengthBytes > MAXIMUM_PACKET_BYTES) {
            throw PomeloturnError.create(ResultCode.MalformedStartup, `length ${lengthBytes}`);
        }
        const end = typeSizeBytes + lengthBytes;
        if (this.bytes.length < end) {
            return undefined;
        }
        const packet = this.bytes.subarray(0, end);
        this.bytes = this.bytes.subarray(end);
        this.check(packet);
        return packet;
    }

    /** Takes the bytes that follow the last packet. */
    takeRest(): Buffer {
        const rest = this.bytes;
        this.bytes = Buffer.alloc(0);
        return rest;
    }

    private check(packet: Buffer): void {
        if (this.hasStarted) {
            checkPassword(packet);
            return;
        }
        const code = packet.readUInt32BE(CODE_OFFSET);
        const check = startupChecks[code];
        if (check === undefined || !check(packet)) {
            throw PomeloturnError.create(ResultCode.MalformedStartup, `code ${code}`);
        }
        this.hasStarted = code === StartupCode.Protocol30;
    }
}

const startupChecks: Readonly<Record<number, (packet: Buffer) => boolean>> = {
    [StartupCode.Protocol30]: packet => hasParameterPairs(packet),
    [StartupCode.Cancel]: packet => packet.length === CANCEL_PACKET_SIZE_BYTES,
    [StartupCode.Ssl]: packet => packet.length === PARAMETERS_OFFSET,
    [StartupCode.GssEncryption]: packet => packet.length === PARAMETERS_OFFSET,
};

const checkPassword = (packet: Buffer): void => {
    const isTerminated = packet.indexOf(0, LENGTH_FIELD_SIZE_BYTES + 1) === packet.length - 1;
    if (packet[0] !== FrontendType.Password || !isTerminated) {
        throw PomeloturnError.create(ResultCode.MalformedStartup, "a password message was expected");
    }
};

/** Whether the packet holds pairs of terminated strings, a user among them, and then one zero byte. */
const hasParameterPairs = (packet: Buffer): boolean => {
    const text = packet.toString("utf8", PARAMETERS_OFFSET);
    if (!text.endsWith("\0\0")) {
        return false;
    }
    const strings = text.slice(0, -2).split("\0");
    const names = strings.filter((_each, index) => index % 2 === 0);
    return strings.length % 2 === 0 && names.every(name => name !== "") && names.includes("user");
};
