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

const ATTRIBUTE_PATTERN = /^\s*([a-z_]+)='([^']*)'\s*$/;

/**
 * Reads the attributes in a trailing sqlcommenter comment. Unknown names are ignored.
 *
 * @throws PomeloturnError with `MalformedComment` if the value of a known name is not quoted and URL-encoded, is empty,
 * or is longer than `MAXIMUM_ATTRIBUTE_CHARACTERS`
 */
export const readCommentAttributes = (text: string): StatementAttributes =>
    Object.fromEntries(readTrailingComment(text).split(",").flatMap(readPair));

const readPair = (pair: string): [keyof StatementAttributes, string][] => {
    const name = pair.split("=")[0]!.trim();
    const attribute = findAttributeName(name);
    if (attribute === undefined) {
        return [];
    }
    const match = ATTRIBUTE_PATTERN.exec(pair);
    if (match === null) {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
    return [[attribute, decodeValue(name, match[2]!)]];
};

const MAXIMUM_ATTRIBUTE_CHARACTERS = 200;

const decodeValue = (name: string, value: string): string => {
    const decoded = tryDecodeUriComponent(value);
    if (decoded === undefined || decoded === "" || decoded.length > MAXIMUM_ATTRIBUTE_CHARACTERS || decoded.includes("\0")) {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
    return decoded;
};

const tryDecodeUriComponent = (value: string): string | undefined => {
    try {
        return decodeURIComponent(value);
    }
    catch {
        return undefined;
    }
};

const SET_STATEMENT_PATTERN =
    /^\s*set\s+(?:session\s+)?([a-z_][a-z_.]*)\s*(?:=|\s+to\s)\s*(?:'([^']*)'|([\w.+-]+(?:\s*,\s*\w+)*))\s*;?\s*$/i;

/** Parses `SET name = value` or `SET name TO value`. @returns name in lower case and value; undefined for other statements */
export const readSetStatement = (text: string): { readonly name: string; readonly value: string; } | undefined => {
    const match = SET_STATEMENT_PATTERN.exec(text);
    return match === null ? undefined : { name: match[1]!.toLowerCase(), value: match[2] ?? match[3]! };
};

/** Maps the name of a setting, without the prefix `pomeloturn.`, to a session attribute. @returns undefined if there is none */
export const findAttributeName = (name: string): keyof StatementAttributes | undefined =>
    Object.hasOwn(ATTRIBUTE_NAMES, name) ? ATTRIBUTE_NAMES[name] : undefined;

const STARTUP_OPTION_PATTERN = /-c\s*pomeloturn\.([a-z_]+)=(\S+)/g;

/** Parses the `-c pomeloturn.name=value` pairs in the start-up parameter `options`. @returns values by name */
export const readStartupOptions = (options: string): ReadonlyMap<string, string> =>
    new Map([...options.matchAll(STARTUP_OPTION_PATTERN)].map(match => [match[1]!, match[2]!]));
