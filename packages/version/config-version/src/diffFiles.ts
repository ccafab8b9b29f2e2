import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { listLeaves } from "@pomeloturn/merge-config/jsonPointer";

/** A value that differs between two versions of a file. `before` and `after` are JSON text, undefined where a version does not set the value. */
export interface ValueChange {
    readonly file: string;
    /** JSON pointer of the value within the file. */
    readonly path: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/**
 * Lists the values that differ between two versions of a file.
 *
 * @param before text of the file; undefined when the file does not exist
 */
export const diffFile = (file: string, before: string | undefined, after: string | undefined): ValueChange[] => {
    const beforeValues = readValues(before);
    const afterValues = readValues(after);
    const paths = [...new Set([...beforeValues.keys(), ...afterValues.keys()])].sort();
    return paths
        .map(path => ({ file, path: path || "/", before: beforeValues.get(path), after: afterValues.get(path) }))
        .filter(change => change.before !== change.after);
};

/** Lists the values that differ between two configuration folders. */
export const diffFiles = (before: readonly ConfigFile[], after: readonly ConfigFile[]): ValueChange[] => {
    const beforeTexts = mapTextsByName(before);
    const afterTexts = mapTextsByName(after);
    const names = [...new Set([...beforeTexts.keys(), ...afterTexts.keys()])].sort();
    return names.flatMap(name => diffFile(name, beforeTexts.get(name), afterTexts.get(name)));
};

/** Maps the names of files to their texts. */
export const mapTextsByName = (files: readonly ConfigFile[]): ReadonlyMap<string, string> =>
    new Map(files.map(({ name, text }) => [name, text]));

/** Formats a change as one line: file, path, value before and value after. */
export const formatChange = ({ file, path, before, after }: ValueChange): string =>
    `${file} at ${path}: ${before ?? "(not set)"} -> ${after ?? "(not set)"}`;

const readValues = (text: string | undefined): ReadonlyMap<string, string> => {
    if (text === undefined) {
        return new Map();
    }
    try {
        return new Map(listLeaves(JSON.parse(text)).map(([pointer, leaf]) => [pointer, JSON.stringify(leaf)]));
    }
    catch {
        return new Map([["", text]]);
    }
};
