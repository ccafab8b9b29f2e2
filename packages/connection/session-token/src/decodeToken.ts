import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { timingSafeEqual } from "node:crypto";
import { signToken } from "./encodeToken.ts";
import { type SessionToken, TOKEN_GROUP_LIMIT } from "./SessionToken.ts";

const TOKEN_SIZE_LIMIT_CHARACTERS = 16_384;
const TOKEN_PARTS = /^([\w-]+)\.([\w-]+)\.([\w-]+)$/;

/**
 * Decodes a token that a caller presents.
 *
 * @throws PomeloturnError with `TokenMalformed`, `TokenOtherService` or `TokenForged`
 */
export const decodeToken = (text: string, service: string, tokenKey: string): SessionToken => {
    const match = text.length <= TOKEN_SIZE_LIMIT_CHARACTERS ? TOKEN_PARTS.exec(text) : null;
    if (match === null) {
        throw PomeloturnError.create(ResultCode.TokenMalformed);
    }
    const [, name, body, signature] = match;
    if (Buffer.from(name!, "base64url").toString() !== service) {
        throw PomeloturnError.create(ResultCode.TokenOtherService);
    }
    if (!isSignatureEqual(signature!, signToken(service, body!, tokenKey))) {
        throw PomeloturnError.create(ResultCode.TokenForged);
    }
    return parseBody(body!);
};

const isSignatureEqual = (left: string, right: string): boolean => {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

const parseBody = (body: string): SessionToken => {
    const value = parseJson(Buffer.from(body, "base64url").toString());
    if (!isBody(value)) {
        throw PomeloturnError.create(ResultCode.TokenMalformed);
    }
    const [isPastKnown, entries] = value;
    const positions = new Map(entries.map(([group, term, position]): [string, LogPosition] => [group, { term, position }]));
    return { positions, isPastKnown };
};

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

type TokenEntry = readonly [group: string, term: number, position: number];

const isBody = (value: unknown): value is readonly [boolean, readonly TokenEntry[]] => {
    if (!Array.isArray(value) || value.length !== 2) {
        return false;
    }
    const [isPastKnown, entries] = value as unknown[];
    return typeof isPastKnown === "boolean" && Array.isArray(entries) && entries.length <= TOKEN_GROUP_LIMIT && entries.every(isEntry);
};

const isEntry = (value: unknown): value is TokenEntry => {
    if (!Array.isArray(value) || value.length !== 3) {
        return false;
    }
    const [group, term, position] = value as unknown[];
    return typeof group === "string" && isPositive(term) && isPositive(position);
};

const isPositive = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 1;
