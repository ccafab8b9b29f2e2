import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { BackendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { createHash } from "node:crypto";
import { serialize } from "pg-protocol";
import type { ScramExchange } from "./ScramExchange.ts";

/** Name and password of the proxies at a backend server. */
export interface BackendCredentials {
    readonly user: string;
    readonly password: string;
}

const AuthenticationKind = {
    Ok: 0,
    CleartextPassword: 3,
    Md5Password: 5,
    Sasl: 10,
    SaslContinue: 11,
    SaslFinal: 12,
} as const;

/** What has to be sent; undefined for nothing. */
type Reply = Buffer | undefined | Promise<Buffer>;
type AuthenticationHandler = (message: Buffer, credentials: BackendCredentials, exchange: ScramExchange) => Reply;

const DATA_OFFSET = HEADER_SIZE_BYTES + 4;

const md5 = (input: string | Buffer): string => createHash("md5").update(input).digest("hex");

const handlers: Readonly<Record<number, AuthenticationHandler>> = {
    [AuthenticationKind.Ok]: () => undefined,
    [AuthenticationKind.CleartextPassword]: (_message, { password }) => serialize.password(password),
    [AuthenticationKind.Md5Password]: (message, { user, password }) => {
        const salt = message.subarray(DATA_OFFSET, DATA_OFFSET + 4);
        const inner = Buffer.from(md5(password + user));
        return serialize.password(`md5${md5(Buffer.concat([inner, salt]))}`);
    },
    [AuthenticationKind.Sasl]: (message, _credentials, exchange) => exchange.start(message.toString("utf8", DATA_OFFSET).split("\0")),
    [AuthenticationKind.SaslContinue]: (message, { password }, exchange) =>
        exchange.proceed(password, message.toString("utf8", DATA_OFFSET)),
    [AuthenticationKind.SaslFinal]: (message, _credentials, exchange) => {
        exchange.finish(message.toString("utf8", DATA_OFFSET));
        return undefined;
    },
};

/**
 * Decides what to send for a message of the start-up phase.
 *
 * @returns what has to be sent, if anything; a promise is rejected when the server's data is wrong
 * @throws PomeloturnError with `BackendUnreachable` on an error or an unknown way of authentication
 */
export const answerAuthentication = (message: Buffer, credentials: BackendCredentials, exchange: ScramExchange): Reply => {
    if (message[0] === BackendType.ErrorResponse) {
        throw PomeloturnError.create(ResultCode.BackendUnreachable, message.toString("latin1", HEADER_SIZE_BYTES).replaceAll("\0", " "));
    }
    if (message[0] !== BackendType.Authentication) {
        return undefined;
    }
    const kind = message.readInt32BE(HEADER_SIZE_BYTES);
    const handler = handlers[kind];
    if (handler === undefined) {
        throw PomeloturnError.create(ResultCode.BackendUnreachable, `authentication kind ${kind}`);
    }
    return handler(message, credentials, exchange);
};
