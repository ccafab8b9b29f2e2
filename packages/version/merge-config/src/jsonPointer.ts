import type { JsonObject } from "./ConfigFile.ts";

/** Appends a key to a JSON pointer (RFC 6901). */
export const appendPointer = (pointer: string, key: string): string => `${pointer}/${key.replaceAll("~", "~0").replaceAll("/", "~1")}`;

/** Whether `pointer` equals `ancestor` or is one of its descendants. */
export const isWithin = (pointer: string, ancestor: string): boolean => pointer === ancestor || pointer.startsWith(`${ancestor}/`);

/** Whether a value is an object that a merge patch merges key by key. Arrays are replaced as a whole. */
export const isJsonObject = (value: unknown): value is JsonObject => typeof value === "object" && value !== null && !Array.isArray(value);

/** Lists the scalars, arrays, nulls and empty objects within a value, each with its JSON pointer. */
export const listLeaves = (value: unknown, pointer = ""): (readonly [pointer: string, leaf: unknown])[] => {
    if (!isJsonObject(value) || Object.keys(value).length === 0) {
        return [[pointer, value]];
    }
    return Object.entries(value).flatMap(([key, child]) => listLeaves(child, appendPointer(pointer, key)));
};

/** Returns the value at a JSON pointer, or undefined when there is none. */
export const readPointer = (value: unknown, pointer: string): unknown =>
    pointer.split("/").slice(1).reduce<unknown>((current, key) => {
        const name = key.replaceAll("~1", "/").replaceAll("~0", "~");
        return isJsonObject(current) && Object.hasOwn(current, name) ? current[name] : undefined;
    }, value);
