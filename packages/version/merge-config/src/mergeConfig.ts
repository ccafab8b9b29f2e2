import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import type { Configuration } from "@pomeloturn/types/Configuration";
import jsonMergePatch from "json-merge-patch";
import { checkAmounts } from "./checkAmounts.ts";
import { checkReferences } from "./checkReferences.ts";
import { checkSchema } from "./checkSchema.ts";
import type { ConfigFile, ConfigProblem, ParsedFile } from "./ConfigFile.ts";
import { OriginMap } from "./OriginMap.ts";
import { parseConfigFile } from "./parseConfigFile.ts";

/** Result of merging the files of a configuration folder. */
export interface MergedConfig {
    /** Valid only when `problems` is empty. */
    readonly configuration: Configuration;
    readonly origins: OriginMap;
    readonly problems: readonly ConfigProblem[];
}

/** Merges files in the order of their names as JSON Merge Patches (RFC 7396) and checks the result. */
export const mergeConfig = (files: readonly ConfigFile[]): MergedConfig => {
    const parsed = [...files].sort((left, right) => left.name < right.name ? -1 : 1).map(parseConfigFile);
    const patches = parsed.filter((each): each is ParsedFile => "patch" in each);
    const origins = OriginMap.create();
    const ownerProblems = patches.flatMap(file => origins.add(file));
    const configuration = patches.reduce<unknown>((merged, { patch }) => jsonMergePatch.apply(merged, structuredClone(patch)), {});
    const problems = [...parsed.filter((each): each is ConfigProblem => "rule" in each), ...ownerProblems];
    if (problems.length > 0) {
        return { configuration: configuration as Configuration, origins, problems };
    }
    return { configuration: configuration as Configuration, origins, problems: checkMerged(configuration, origins) };
};

const checkMerged = (configuration: unknown, origins: OriginMap): ConfigProblem[] => {
    const schemaProblems = checkSchema(configuration, origins);
    if (schemaProblems.length > 0) {
        return schemaProblems;
    }
    return [...checkReferences(configuration as Configuration, origins), ...checkAmounts(configuration as Configuration, origins)];
};

/** Formats a problem as one line: file, path, message and rule. */
export const formatProblem = ({ file, path, rule, message }: ConfigProblem): string =>
    `${file || "the folder"} at ${path}: ${message} (${rule})`;

/**
 * Merges files and throws when the result has problems.
 *
 * @throws PomeloturnError with the code of the first problem and the formatted text of all problems
 */
export const mergeConfigOrThrow = (files: readonly ConfigFile[]): MergedConfig => {
    const merged = mergeConfig(files);
    const [first] = merged.problems;
    if (first !== undefined) {
        throw PomeloturnError.create(first.code, merged.problems.map(formatProblem).join("; "));
    }
    return merged;
};
