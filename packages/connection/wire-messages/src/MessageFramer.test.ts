import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { MessageFramer } from "./MessageFramer.ts";

const SEED = 4_205;
const LIMIT_BYTES = 1_000;

const encodeMessage = (type: number, body: Uint8Array): Buffer => {
    const header = Buffer.alloc(5);
    header[0] = type;
    header.writeUInt32BE(body.length + 4, 1);
    return Buffer.concat([header, body]);
};

const splitBytes = (bytes: Buffer, sizes: readonly number[]): Buffer[] => {
    const chunks: Buffer[] = [];
    let offset = 0;
    for (const size of sizes) {
        chunks.push(bytes.subarray(offset, offset + size));
        offset += size;
    }
    return [...chunks, bytes.subarray(offset)].filter(chunk => chunk.length > 0);
};

describe("MessageFramer", () => {
    it("returns the same messages for every split of the stream into chunks", () => {
        const message = fc.tuple(fc.integer({ min: 0, max: 255 }), fc.uint8Array({ maxLength: 300 }));
        fc.assert(
            fc.property(fc.array(message, { maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 60 })), (contents, sizes) => {
                const messages = contents.map(([type, body]) => encodeMessage(type, body));
                const framer = MessageFramer.create(LIMIT_BYTES);
                const found = splitBytes(Buffer.concat(messages), sizes).flatMap(chunk => framer.push(chunk));
                expect(found).toEqual(messages);
            }),
            { seed: SEED, numRuns: 500 },
        );
    });

    it("frames arbitrary bytes or throws an error with a result code", () => {
        fc.assert(
            fc.property(fc.array(fc.uint8Array({ minLength: 1, maxLength: 50 })), chunks => {
                const framer = MessageFramer.create(LIMIT_BYTES);
                try {
                    chunks.forEach(chunk => framer.push(Buffer.from(chunk)));
                }
                catch (error) {
                    expect(error).toBeInstanceOf(PomeloturnError);
                    expect([ResultCode.MalformedMessage, ResultCode.MessageTooLarge]).toContain((error as PomeloturnError).code);
                }
            }),
            { seed: SEED, numRuns: 500 },
        );
    });

    it("rejects a message above the limit as soon as its header is received", () => {
        const header = Buffer.from([0x51, 0, 0, 4, 0]);
        expect(() => MessageFramer.create(LIMIT_BYTES).push(header)).toThrow("pomeloturn 105");
    });
});
