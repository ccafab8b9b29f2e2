import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { LogPosition } from "@pomeloturn/types/LogPosition";
import { timingSafeEqual } from "node:crypto";
import { signToken } from "./encodeToken.ts";
import { type SessionToken, TOKEN_GROUP_LIMIT } from "./SessionToken.ts";

const MAXIMUM_TOKEN_CHARACTERS = 16_384;
const TOKEN_PATTERN = /^([\w-]+)\.([\w-]+)\.([\w-]+)$/;

/**
 * Decodes and verifies a token that a caller presents.
 *
 * @param service name of the service that the token has to be issued for
 * @param tokenKey signing key of the service
 * @throws PomeloturnError with `TokenMalformed`, `TokenOtherService` or `TokenForged`
 */
export const decodeToken = (text: string, service: string, tokenKey: string): SessionToken => {
    const match = text.length <= MAXIMUM_TOKEN_CHARACTERS ? TOKEN_PATTERN.exec(text) : null;
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
    if (!isTokenBody(value)) {
        throw PomeloturnError.create(ResultCode.TokenMalformed);
    }
    const [isComplete, entries] = value;
    const positions = new Map(entries.map(([group, term, position]): [string, LogPosition] => [group, { term, position }]));
    return { positions, isComplete };
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

const isTokenBody = (value: unknown): value is readonly [boolean, readonly TokenEntry[]] => {
    if (!Array.isArray(value) || value.length !== 2) {
        return false;
    }
    const [isComplete, entries] = value as unknown[];
    return typeof isComplete === "boolean" && Array.isArray(entries) && entries.length <= TOKEN_GROUP_LIMIT && entries.every(isTokenEntry);
};

const isTokenEntry = (value: unknown): value is TokenEntry => {
    if (!Array.isArray(value) || value.length !== 3) {
        return false;
    }
    const [group, term, position] = value as unknown[];
    return typeof group === "string" && isPositiveInteger(term) && isPositiveInteger(position);
};

const isPositiveInteger = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 1;
