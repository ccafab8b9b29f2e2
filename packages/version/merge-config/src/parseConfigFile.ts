import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type ConfigFile, type ConfigProblem, Owner, type ParsedFile } from "./ConfigFile.ts";
import { appendPointer, isJsonObject } from "./jsonPointer.ts";

/** Keys that JavaScript objects treat specially; json-merge-patch would drop the rest of their object. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(["__proto__", "constructor", "prototype", "hasOwnProperty", "toJSON"]);

const owners: readonly unknown[] = Object.values(Owner);

/** Reads a file's owner and patch. */
export const parseConfigFile = (file: ConfigFile): ParsedFile | ConfigProblem => {
    const fault = (path: string, rule: string, message: string): ConfigProblem => ({
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
        return fault("/", "json", (error as Error).message);
    }
    if (!isJsonObject(value)) {
        return fault("/", "type", "must be object");
    }
    const { owner, ...patch } = value;
    if (!owners.includes(owner)) {
        return fault("/owner", "enum", `must be one of ${owners.join(", ")}`);
    }
    const forbidden = findForbiddenKey(patch, "");
    if (forbidden !== undefined) {
        return fault(forbidden, "propertyNames", "must not use this name");
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
