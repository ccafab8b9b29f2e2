import fc from "fast-check";
import { createConnection, createServer, type Server } from "node:net";
import { serialize } from "pg-protocol";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { CallerStartup, StartupOutcome, type StartupResult } from "./CallerStartup.ts";

const HOST = "127.0.0.1";
const SEED = 4_204;
const TIMEOUT_MS = 300;

const encodeIntegers = (...values: number[]): Buffer => {
    const bytes = Buffer.alloc(values.length * 4);
    values.forEach((value, index) => bytes.writeUInt32BE(value, index * 4));
    return bytes;
};
const encodeStartupPacket = (code: number, body: Buffer | string = ""): Buffer =>
    Buffer.concat([encodeIntegers(8 + Buffer.from(body).length, code), Buffer.from(body)]);
const PROTOCOL_3_0 = 196_608;
const STARTUP_PACKET = encodeStartupPacket(PROTOCOL_3_0, "user\0editor\0database\0log-core\0\0");
const PASSWORD_MESSAGE = serialize.password("secret");

describe("CallerStartup", () => {
    let server: Server;
    let results: StartupResult[];

    beforeEach(async () => {
        results = [];
        server = createServer(socket => {
            socket.on("error", () => undefined);
            CallerStartup.create(socket, {
                timeoutMs: TIMEOUT_MS,
                findCredentials: service => service === "log-core" ? { user: "editor", password: "secret" } : undefined,
                onResult: result => {
                    results.push(result);
                    if (result.outcome === StartupOutcome.Accepted) {
                        result.socket.on("data", chunk => result.socket.end(`taken ${chunk.toString()}`));
                    }
                },
            });
        });
        await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    });

    afterEach(() => {
        server.close();
    });

    /** Sends chunks one by one and returns what the server answers until it closes the connection. */
    const exchange = (chunks: readonly Uint8Array[]): Promise<string> =>
        new Promise(resolve => {
            const { port } = server.address() as { port: number; };
            let text = "";
            const socket = createConnection({ host: HOST, port, noDelay: true }, () => {
                void (async () => {
                    for (const chunk of chunks) {
                        socket.write(chunk);
                        await new Promise(turn => setImmediate(turn));
                    }
                })();
            });
            socket.on("data", data => {
                text += data.toString("latin1");
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(text));
        });

    it("accepts the password and passes on the bytes after it, for every split into chunks", async () => {
        const bytes = Buffer.concat([
            encodeStartupPacket(80_877_104),
            encodeStartupPacket(80_877_103),
            STARTUP_PACKET,
            PASSWORD_MESSAGE,
            Buffer.from("rest"),
        ]);
        const cuts = fc.uniqueArray(fc.integer({ min: 1, max: bytes.length - 5 }), { maxLength: 6 });
        await fc.assert(
            fc.asyncProperty(cuts, async positions => {
                const edges = [0, ...positions.sort((left, right) => left - right), bytes.length];
                const chunks = edges.slice(1).map((end, index) => bytes.subarray(edges[index], end));
                expect(await exchange(chunks)).toMatch(/^NNR.*taken rest$/s);
            }),
            { seed: SEED, numRuns: 30 },
        );
    });

    it("reports the key of a cancel request", async () => {
        await exchange([encodeStartupPacket(80_877_102, encodeIntegers(7, 42))]);
        expect(results).toEqual([{ outcome: StartupOutcome.Cancel, processId: 7, secretKey: 42 }]);
    });

    it.each<[string, Uint8Array[], string]>([
        ["wrong password", [STARTUP_PACKET, serialize.password("wrong")], "result=101"],
        ["wrong user", [encodeStartupPacket(PROTOCOL_3_0, "user\0other\0database\0log-core\0\0"), PASSWORD_MESSAGE], "result=101"],
        ["unknown service", [encodeStartupPacket(PROTOCOL_3_0, "user\0editor\0database\0none\0\0")], "result=102"],
        ["length too small", [encodeIntegers(4, 0)], "result=103"],
        ["length too large", [encodeIntegers(2 ** 31, PROTOCOL_3_0)], "result=103"],
        ["unknown protocol", [encodeStartupPacket(131_072, "user\0a\0\0")], "result=103"],
        ["unterminated string", [encodeStartupPacket(PROTOCOL_3_0, "user\0editor")], "result=103"],
        ["name without a value", [encodeStartupPacket(PROTOCOL_3_0, "user\0editor\0database\0\0")], "result=103"],
        ["no user", [encodeStartupPacket(PROTOCOL_3_0, "database\0log-core\0\0")], "result=103"],
        ["query before the password", [STARTUP_PACKET, serialize.query("SELECT 1")], "result=103"],
        ["unterminated password", [STARTUP_PACKET, Buffer.from("p\0\0\0\x08abcd")], "result=103"],
        ["cancel request of the wrong size", [encodeStartupPacket(80_877_102, "abc")], "result=103"],
        ["HTTP", [Buffer.from("GET / HTTP/1.1\r\n\r\n")], "result=103"],
        ["no data", [], "result=116"],
        ["no data after the start-up packet", [STARTUP_PACKET], "result=116"],
    ])("answers %s with an error result and closes", async (_name, chunks, expected) => {
        expect(await exchange(chunks)).toContain(expected);
    });

    it("closes the connection without a session after arbitrary bytes", async () => {
        const packets = fc.oneof(
            fc.uint8Array({ maxLength: 40 }),
            fc.uint8Array({ minLength: 8, maxLength: 40 }).map(bytes => encodeStartupPacket(PROTOCOL_3_0, Buffer.from(bytes))),
            fc.string().map(text => encodeStartupPacket(PROTOCOL_3_0, `${text}\0\0`)),
        );
        await fc.assert(
            fc.asyncProperty(fc.array(packets, { maxLength: 3 }), async chunks => {
                await exchange(chunks);
                expect(results).toEqual([]);
            }),
            { seed: SEED, numRuns: 40 },
        );
    });
});
