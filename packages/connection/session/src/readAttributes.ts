import { readTrailingComment } from "@pomeloturn/classify-statement/trailingComment";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { StatementAttributes } from "./SessionState.ts";

const ATTRIBUTE_NAMES: Readonly<Record<string, keyof StatementAttributes>> = {
    rank: "rank",
    read_kind: "readKind",
    key: "key",
    request_id: "requestId",
};

const PAIR = /^\s*([a-z_]+)='([^']*)'\s*$/;

/**
 * Reads the attributes of a trailing sqlcommenter comment. Names of others are passed over.
 *
 * @throws PomeloturnError with `MalformedComment` when one of our names has no quoted, URL-encoded value
 */
export const readComment = (text: string): StatementAttributes =>
    Object.fromEntries(readTrailingComment(text).split(",").flatMap(readPair));

const readPair = (pair: string): [keyof StatementAttributes, string][] => {
    const name = pair.split("=")[0]!.trim();
    const attribute = toAttribute(name);
    if (attribute === undefined) {
        return [];
    }
    const match = PAIR.exec(pair);
    if (match === null) {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
    return [[attribute, decodeValue(name, match[2]!)]];
};

const ATTRIBUTE_LENGTH_LIMIT = 200;

const decodeValue = (name: string, value: string): string => {
    const decoded = decodeOrUndefined(value);
    if (decoded === undefined || decoded === "" || decoded.length > ATTRIBUTE_LENGTH_LIMIT || decoded.includes("\0")) {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
    return decoded;
};

const decodeOrUndefined = (value: string): string | undefined => {
    try {
        return decodeURIComponent(value);
    }
    catch {
        return undefined;
    }
};

const SET_STATEMENT = /^\s*set\s+(?:session\s+)?([a-z_][a-z_.]*)\s*(?:=|\s+to\s)\s*(?:'([^']*)'|([\w.+-]+(?:\s*,\s*\w+)*))\s*;?\s*$/i;

/** Reads `SET name = value`; undefined for other statements. The name is in lower case. */
export const readSetStatement = (text: string): { readonly name: string; readonly value: string; } | undefined => {
    const match = SET_STATEMENT.exec(text);
    return match === null ? undefined : { name: match[1]!.toLowerCase(), value: match[2] ?? match[3]! };
};

/** The session attribute that a `pomeloturn.` setting changes; undefined for others. */
export const toAttribute = (name: string): keyof StatementAttributes | undefined =>
    Object.hasOwn(ATTRIBUTE_NAMES, name) ? ATTRIBUTE_NAMES[name] : undefined;

const STARTUP_OPTION = /-c\s*pomeloturn\.([a-z_]+)=(\S+)/g;

/** Reads `-c pomeloturn.name=value` pairs of the start-up parameter `options`. */
export const readStartupOptions = (options: string): ReadonlyMap<string, string> =>
    new Map([...options.matchAll(STARTUP_OPTION)].map(match => [match[1]!, match[2]!]));
