import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeToken } from "./decodeToken.ts";
import { encodeToken, signToken } from "./encodeToken.ts";
import { mergePosition, mergeTokens } from "./mergePosition.ts";
import { EMPTY_TOKEN, type SessionToken, TOKEN_GROUP_LIMIT } from "./SessionToken.ts";

const SERVICE = "log-core";
const KEY = "token-key";
const SEED = 4_201;

const getDecodeResult = (text: string, service = SERVICE, key = KEY): ResultCode => {
    try {
        decodeToken(text, service, key);
        return ResultCode.Ok;
    }
    catch (error) {
        expect(error).toBeInstanceOf(PomeloturnError);
        return (error as PomeloturnError).code;
    }
};

/** Creates a token with a valid signature for an arbitrary body. */
const createSignedToken = (body: string): string => {
    const encoded = Buffer.from(body).toString("base64url");
    return `${Buffer.from(SERVICE).toString("base64url")}.${encoded}.${signToken(SERVICE, encoded, KEY)}`;
};

const positionArbitrary = fc.record({ term: fc.integer({ min: 1, max: 1_000 }), position: fc.integer({ min: 1, max: 2 ** 50 }) });
const tokenArbitrary = fc.record({
    positions: fc.array(fc.tuple(fc.string(), positionArbitrary), { maxLength: TOKEN_GROUP_LIMIT }).map(entries => new Map(entries)),
    isComplete: fc.boolean(),
});

describe("decodeToken", () => {
    it("round-trips tokens encoded by encodeToken", () => {
        fc.assert(
            fc.property(tokenArbitrary, token => {
                expect(decodeToken(encodeToken(token, SERVICE, KEY), SERVICE, KEY)).toEqual(token);
            }),
            { seed: SEED },
        );
    });

    const token: SessionToken = mergePosition(EMPTY_TOKEN, "log-1", { term: 1, position: 10 });
    it.each([
        ["empty", "", ResultCode.TokenMalformed],
        ["two parts", "a.b", ResultCode.TokenMalformed],
        ["four parts", "a.b.c.d", ResultCode.TokenMalformed],
        ["too long", `a.${"b".repeat(20_000)}.c`, ResultCode.TokenMalformed],
        ["issued for another service", encodeToken(token, "ledger", KEY), ResultCode.TokenOtherService],
        ["forged", encodeToken(token, SERVICE, "other-key"), ResultCode.TokenForged],
        ["changed", encodeToken(token, SERVICE, KEY).replace(/\..{4}/, ".WzAs"), ResultCode.TokenForged],
        ["not JSON", createSignedToken("{"), ResultCode.TokenMalformed],
        ["an object", createSignedToken("{}"), ResultCode.TokenMalformed],
        ["null", createSignedToken("null"), ResultCode.TokenMalformed],
        ["without the completeness flag", createSignedToken("[[],[]]"), ResultCode.TokenMalformed],
        ["entry of the wrong shape", createSignedToken("[true,[[\"log-1\",1]]]"), ResultCode.TokenMalformed],
        ["string as a term", createSignedToken("[true,[[\"log-1\",\"1\",5]]]"), ResultCode.TokenMalformed],
        ["negative position", createSignedToken("[true,[[\"log-1\",1,-5]]]"), ResultCode.TokenMalformed],
        ["term 0", createSignedToken("[true,[[\"log-1\",0,5]]]"), ResultCode.TokenMalformed],
        [
            "too many groups",
            createSignedToken(`[true,${JSON.stringify(Array.from({ length: 33 }, (_, index) => [`g${index}`, 1, 1]))}]`),
            109,
        ],
    ])("rejects a token: %s", (_name, text, code) => {
        expect(getDecodeResult(text)).toBe(code);
    });

    it("throws only errors with a token result code for arbitrary text", () => {
        const text = fc.oneof(
            fc.string(),
            fc.string().map(createSignedToken),
            fc.json().map(createSignedToken),
            fc.stringMatching(/^[\w-]*\.[\w-]*\.[\w-]*$/),
        );
        const codes: readonly ResultCode[] = [
            ResultCode.Ok,
            ResultCode.TokenMalformed,
            ResultCode.TokenForged,
            ResultCode.TokenOtherService,
        ];
        fc.assert(fc.property(text, each => codes.includes(getDecodeResult(each))), { seed: SEED, numRuns: 2_000 });
    });
});

describe("mergePosition", () => {
    it("keeps the later position", () => {
        const later = mergePosition(EMPTY_TOKEN, "log-1", { term: 2, position: 5 });
        expect(mergePosition(later, "log-1", { term: 1, position: 900 })).toEqual(later);
    });

    it("evicts the least recently written group above the limit and marks the token incomplete", () => {
        const groups = Array.from({ length: TOKEN_GROUP_LIMIT + 1 }, (_each, index) => `g${index}`);
        const token = groups.reduce((merged, group) => mergePosition(merged, group, { term: 1, position: 1 }), EMPTY_TOKEN);
        expect(token.positions.size).toBe(TOKEN_GROUP_LIMIT);
        expect(token.positions.has("g0")).toBe(false);
        expect(token.isComplete).toBe(false);
        expect(mergeTokens(token, EMPTY_TOKEN).isComplete).toBe(false);
    });

    it("takes completeness from the presented token", () => {
        const own = mergePosition({ ...EMPTY_TOKEN, isComplete: false }, "log-1", { term: 1, position: 5 });
        expect(mergeTokens(own, EMPTY_TOKEN)).toEqual({ ...own, isComplete: true });
        expect(mergeTokens(EMPTY_TOKEN, own).isComplete).toBe(false);
    });
});
