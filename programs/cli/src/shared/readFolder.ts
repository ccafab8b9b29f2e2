import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const CONFIG_FILE_EXTENSION = ".json";

/**
 * Reads the JSON files of a configuration folder in the order of their names and ignores other files.
 *
 * @throws PomeloturnError with `ConfigurationInvalid` if the folder cannot be read or contains no JSON files
 */
export const readFolder = (folder: string): ConfigFile[] => {
    const files = readConfigFiles(folder);
    if (files.length === 0) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `the folder ${folder} contains no JSON files`);
    }
    return files;
};

const readConfigFiles = (folder: string): ConfigFile[] => {
    try {
        const names = readdirSync(folder).filter(name => name.endsWith(CONFIG_FILE_EXTENSION)).sort();
        return names.map(name => ({ name, text: readFileSync(join(folder, name), "utf8") }));
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `the folder ${folder} cannot be read`, error as Error);
    }
};
