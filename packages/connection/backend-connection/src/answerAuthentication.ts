import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { BackendType, HEADER_SIZE_BYTES } from "@pomeloturn/wire-messages/messageTypes";
import { createHash } from "node:crypto";
import { serialize } from "pg-protocol";
import type { ScramExchange } from "./ScramExchange.ts";

/** Credentials with which proxies log in to a backend server. */
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

/** Message to send; undefined if there is none. */
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
 * Creates the reply to a message that the backend server sends during start-up.
 *
 * @returns message to send, if any; the promise is rejected if the server's SCRAM data is invalid
 * @throws PomeloturnError with `BackendUnreachable` on an ErrorResponse or an unsupported authentication method
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
        throw PomeloturnError.create(ResultCode.BackendUnreachable, `authentication method ${kind} is not supported`);
    }
    return handler(message, credentials, exchange);
};
