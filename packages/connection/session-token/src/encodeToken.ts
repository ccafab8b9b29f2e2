import { createHmac } from "node:crypto";
import type { SessionToken } from "./SessionToken.ts";

const SIGNATURE_SIZE_BYTES = 16;

/** Returns the base64url signature of a token body: HMAC-SHA-256 of service and body, truncated to 16 bytes. */
export const signToken = (service: string, body: string, tokenKey: string): string =>
    createHmac("sha256", tokenKey).update(`${service}\n${body}`).digest().subarray(0, SIGNATURE_SIZE_BYTES).toString("base64url");

/** Encodes a token as base64url-encoded service, positions and signature, separated by periods. */
export const encodeToken = (token: SessionToken, service: string, tokenKey: string): string => {
    const positions = [...token.positions].map(([group, { term, position }]) => [group, term, position]);
    const body = Buffer.from(JSON.stringify([token.isComplete, positions])).toString("base64url");
    const name = Buffer.from(service).toString("base64url");
    return `${name}.${body}.${signToken(service, body, tokenKey)}`;
};
