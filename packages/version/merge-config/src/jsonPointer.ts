import type { JsonObject } from "./ConfigFile.ts";

/** Appends a key to a JSON pointer (RFC 6901). */
export const appendPointer = (pointer: string, key: string): string => `${pointer}/${key.replaceAll("~", "~0").replaceAll("/", "~1")}`;

/** Whether `pointer` is `ancestor` or lies below it. */
export const isWithin = (pointer: string, ancestor: string): boolean => pointer === ancestor || pointer.startsWith(`${ancestor}/`);

/** Whether a value is an object that a merge patch goes into. Arrays are replaced as a whole. */
export const isJsonObject = (value: unknown): value is JsonObject => typeof value === "object" && value !== null && !Array.isArray(value);

/** Scalars, arrays, nulls and empty objects of a value, by JSON pointer. */
export const listLeaves = (value: unknown, pointer = ""): (readonly [pointer: string, leaf: unknown])[] => {
    if (!isJsonObject(value) || Object.keys(value).length === 0) {
        return [[pointer, value]];
    }
    return Object.entries(value).flatMap(([key, child]) => listLeaves(child, appendPointer(pointer, key)));
};

/** The value at a JSON pointer; undefined when there is none. */
export const readPointer = (value: unknown, pointer: string): unknown =>
    pointer.split("/").slice(1).reduce<unknown>((current, key) => {
        const name = key.replaceAll("~1", "/").replaceAll("~0", "~");
        return isJsonObject(current) && Object.hasOwn(current, name) ? current[name] : undefined;
    }, value);
