import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type ConfigFile, type ConfigProblem, Owner, type ParsedFile } from "./ConfigFile.ts";
import { appendPointer, isJsonObject } from "./jsonPointer.ts";

/** Keys with a special meaning on JavaScript objects. json-merge-patch drops the remaining keys of an object that contains one. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(["__proto__", "constructor", "prototype", "hasOwnProperty", "toJSON"]);

const owners: readonly unknown[] = Object.values(Owner);

/** Parses a file into its owner and its patch. @returns the problem when the file is invalid */
export const parseConfigFile = (file: ConfigFile): ParsedFile | ConfigProblem => {
    const createProblem = (path: string, rule: string, message: string): ConfigProblem => ({
        code: ResultCode.ConfigurationInvalid,
        file: file.name,
        path,
        rule,
        message,
    });
    let value: unknown;
    try {
        value = JSON.parse(file.text);
    }
    catch (error) {
        return createProblem("/", "json", (error as Error).message);
    }
    if (!isJsonObject(value)) {
        return createProblem("/", "type", "must be object");
    }
    const { owner, ...patch } = value;
    if (!owners.includes(owner)) {
        return createProblem("/owner", "enum", `must be one of ${owners.join(", ")}`);
    }
    const forbidden = findForbiddenKey(patch, "");
    if (forbidden !== undefined) {
        return createProblem(forbidden, "propertyNames", "the name is reserved by JavaScript and must not be used as a key");
    }
    return { name: file.name, owner: owner as Owner, patch };
};

const findForbiddenKey = (value: unknown, pointer: string): string | undefined => {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    for (const [key, child] of Object.entries(value)) {
        const path = appendPointer(pointer, key);
        const found = FORBIDDEN_KEYS.has(key) ? path : findForbiddenKey(child, path);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
};
