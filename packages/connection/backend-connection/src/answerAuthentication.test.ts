import { BackendType, FrontendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { createHash, createHmac, pbkdf2Sync } from "node:crypto";
import { describe, expect, it } from "vitest";
import { answerAuthentication } from "./answerAuthentication.ts";
import { ScramExchange } from "./ScramExchange.ts";

const CREDENTIALS = { user: "proxy", password: "backend" };
const SALT = Buffer.from("salt-of-16-bytes");
const ITERATIONS = 4_096;

const encodeAuthentication = (kind: number, data: Buffer | string = ""): Buffer => {
    const body = Buffer.from(data);
    const header = Buffer.alloc(HEADER_SIZE_BYTES + 4);
    header[0] = BackendType.Authentication;
    header.writeUInt32BE(8 + body.length, 1);
    header.writeUInt32BE(kind, HEADER_SIZE_BYTES);
    return Buffer.concat([header, body]);
};
const hmac = (key: Buffer, text: string): Buffer => createHmac("sha256", key).update(text).digest();
const getBody = (reply: Buffer | undefined): string => reply!.toString("utf8", HEADER_SIZE_BYTES);

/** Runs the server side of RFC 5802 for a password. @returns the client's proof, the expected proof and the server signature */
const runServerSide = async (
    password: string,
): Promise<{ proof: string; expected: string; signature: string; exchange: ScramExchange; }> => {
    const exchange = ScramExchange.create();
    const first = getBody(await answerAuthentication(encodeAuthentication(10, "SCRAM-SHA-256\0\0"), CREDENTIALS, exchange));
    const clientFirst = first.slice(first.indexOf("n=*"));
    const nonce = `${clientFirst.split("r=")[1]!}server`;
    const serverFirst = `r=${nonce},s=${SALT.toString("base64")},i=${ITERATIONS}`;
    const final = getBody(await answerAuthentication(encodeAuthentication(11, serverFirst), CREDENTIALS, exchange));
    const [withoutProof, proof] = final.split(",p=");
    const salted = pbkdf2Sync(password, SALT, ITERATIONS, 32, "sha256");
    const clientKey = hmac(salted, "Client Key");
    const message = `${clientFirst},${serverFirst},${withoutProof}`;
    const clientSignature = hmac(createHash("sha256").update(clientKey).digest(), message);
    const expected = Buffer.from(clientKey.map((byte, index) => byte ^ clientSignature[index]!)).toString("base64");
    const signature = hmac(hmac(salted, "Server Key"), message).toString("base64");
    return { proof: proof!, expected, signature, exchange };
};

describe("answerAuthentication", () => {
    it.each([
        ["a cleartext password request", encodeAuthentication(3), "backend\0"],
        ["an MD5 password request", encodeAuthentication(5, Buffer.from([1, 2, 3, 4])), /^md5[0-9a-f]{32}\0$/],
    ])("answers %s", async (_name, message, expected) => {
        const reply = await answerAuthentication(message, CREDENTIALS, ScramExchange.create());
        expect(reply![0]).toBe(FrontendType.Password);
        expect(getBody(reply)).toMatch(expected);
    });

    it("authenticates with SCRAM-SHA-256 and verifies the server signature", async () => {
        const { proof, expected, signature, exchange } = await runServerSide(CREDENTIALS.password);
        expect(proof).toBe(expected);
        expect(answerAuthentication(encodeAuthentication(12, `v=${signature}`), CREDENTIALS, exchange)).toBeUndefined();
    });

    it("rejects a server that does not know the password", async () => {
        const { proof, expected, signature, exchange } = await runServerSide("another");
        expect(proof).not.toBe(expected);
        expect(() => answerAuthentication(encodeAuthentication(12, `v=${signature}`), CREDENTIALS, exchange)).toThrow();
    });

    it.each([
        ["an unknown authentication method", encodeAuthentication(7)],
        ["SASL without SCRAM", encodeAuthentication(10, "OAUTHBEARER\0\0")],
        ["an ErrorResponse", Buffer.from("E\0\0\0\x0cC28P01\0\0")],
    ])("rejects %s", (_name, message) => {
        expect(() => answerAuthentication(message, CREDENTIALS, ScramExchange.create())).toThrow();
    });
});
