import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { StatementAttributes } from "./SessionState.ts";

const ATTRIBUTE_NAMES: Readonly<Record<string, keyof StatementAttributes>> = {
    rank: "rank",
    read_kind: "readKind",
    key: "key",
    request_id: "requestId",
};

const TRAILING_COMMENT = /\/\*([^*]*(?:\*(?!\/)[^*]*)*)\*\/\s*;?\s*$/;
const PAIR = /^\s*([a-z_]+)='([^']*)'\s*$/;

/**
 * Reads the attributes of a trailing sqlcommenter comment. Names of others are passed over.
 *
 * @throws PomeloturnError with `MalformedComment` when one of our names has no quoted, URL-encoded value
 */
export const readComment = (text: string): StatementAttributes => {
    const comment = TRAILING_COMMENT.exec(text)?.[1];
    if (comment === undefined) {
        return {};
    }
    const entries = comment.split(",").flatMap(readPair);
    return Object.fromEntries(entries);
};

const readPair = (pair: string): [keyof StatementAttributes, string][] => {
    const name = pair.split("=")[0]!.trim();
    const attribute = ATTRIBUTE_NAMES[name];
    if (attribute === undefined) {
        return [];
    }
    const match = PAIR.exec(pair);
    if (match === null) {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
    return [[attribute, decodeValue(name, match[2]!)]];
};

const decodeValue = (name: string, value: string): string => {
    try {
        return decodeURIComponent(value);
    }
    catch {
        throw PomeloturnError.create(ResultCode.MalformedComment, name);
    }
};

const SET_STATEMENT = /^\s*set\s+(?:session\s+)?pomeloturn\.([a-z_]+)\s*(?:=|\s+to\s)\s*'([^']*)'\s*;?\s*$/i;

/** Reads `SET pomeloturn.name = 'value'`; undefined for other statements. */
export const readSetStatement = (text: string): { readonly name: string; readonly value: string; } | undefined => {
    const match = SET_STATEMENT.exec(text);
    return match === null ? undefined : { name: match[1]!.toLowerCase(), value: match[2]! };
};

/** The session attribute that a `pomeloturn.` setting changes; undefined for others. */
export const toAttribute = (name: string): keyof StatementAttributes | undefined => ATTRIBUTE_NAMES[name];

const STARTUP_OPTION = /-c\s*pomeloturn\.([a-z_]+)=(\S+)/g;

/** Reads `-c pomeloturn.name=value` pairs of the start-up parameter `options`. */
export const readStartupOptions = (options: string): ReadonlyMap<string, string> =>
    new Map([...options.matchAll(STARTUP_OPTION)].map(match => [match[1]!, match[2]!]));
