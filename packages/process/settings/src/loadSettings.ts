import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { Ajv, type ErrorObject } from "ajv";
import { readFileSync } from "node:fs";

/**
 * Reads a JSON settings file, validates it against a JSON schema and fills in the schema's defaults.
 *
 * @throws PomeloturnError with `SettingsUnreadable` when the file cannot be read or parsed
 * @throws PomeloturnError with `SettingsInvalid`, naming the file and the path and rule of each violation
 */
export const loadSettings = <Settings>(file: string, schema: object): Settings => {
    const value = parseFile(file);
    // The schemas are part of the program. Compiling the schema of schemas to check them takes half of a process's start.
    const ajv = new Ajv({ allErrors: true, useDefaults: true, allowUnionTypes: true, meta: false, validateSchema: false });
    const validate = ajv.compile<Settings>(schema);
    if (!validate(value)) {
        throw PomeloturnError.create(ResultCode.SettingsInvalid, formatErrors(file, validate.errors ?? []));
    }
    return value;
};

const parseFile = (file: string): unknown => {
    try {
        return JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.SettingsUnreadable, file, error as Error);
    }
};

const formatErrors = (file: string, errors: readonly ErrorObject[]): string => errors.map(error => formatError(file, error)).join("; ");

const formatError = (file: string, error: ErrorObject): string => {
    const { additionalProperty } = error.params as Readonly<Record<string, string>>;
    const path = additionalProperty === undefined ? error.instancePath : `${error.instancePath}/${additionalProperty}`;
    return `${file} at ${path || "/"}: ${error.message ?? error.keyword} (${error.keyword})`;
};
