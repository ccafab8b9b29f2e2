import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { timingSafeEqual } from "node:crypto";
import { signToken } from "./encodeToken.ts";
import type { SessionToken } from "./SessionToken.ts";

/**
 * Decodes a token that a caller presents.
 *
 * @throws PomeloturnError with `TokenMalformed`, `TokenOtherService` or `TokenForged`
 */
export const decodeToken = (text: string, service: string, tokenKey: string): SessionToken => {
    const parts = text.split(".");
    const [name, body, signature] = parts;
    if (parts.length !== 3 || name === undefined || body === undefined || signature === undefined) {
        throw PomeloturnError.create(ResultCode.TokenMalformed);
    }
    if (Buffer.from(name, "base64url").toString() !== service) {
        throw PomeloturnError.create(ResultCode.TokenOtherService);
    }
    if (!isSignatureEqual(signature, signToken(service, body, tokenKey))) {
        throw PomeloturnError.create(ResultCode.TokenForged);
    }
    return parseBody(body);
};

const isSignatureEqual = (left: string, right: string): boolean => {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

const parseBody = (body: string): SessionToken => {
    const entries = JSON.parse(Buffer.from(body, "base64url").toString()) as [string, number, number][];
    return new Map(entries.map(([group, term, position]): [string, LogPosition] => [group, { term, position }]));
};
