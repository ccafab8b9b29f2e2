import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const EXTENSION = ".json";

/**
 * Reads the JSON files of a configuration folder, in the order of their names. Other files are passed over.
 *
 * @throws PomeloturnError with `ConfigurationInvalid` when the folder cannot be read or has no JSON files
 */
export const readFolder = (folder: string): ConfigFile[] => {
    const files = read(folder);
    if (files.length === 0) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `${folder} has no JSON files`);
    }
    return files;
};

const read = (folder: string): ConfigFile[] => {
    try {
        const names = readdirSync(folder).filter(name => name.endsWith(EXTENSION)).sort();
        return names.map(name => ({ name, text: readFileSync(join(folder, name), "utf8") }));
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, folder, error as Error);
    }
};
