import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { Configuration } from "@pomeloturn/types/Configuration";

/** A configuration version as the object store holds it. */
export interface ConfigurationVersion {
    readonly version: number;
    readonly configuration: Configuration;
}

/** Reads an object of the store. @throws PomeloturnError with `ConfigurationInvalid` */
export const openConfiguration = (objectName: string, body: string): ConfigurationVersion => {
    try {
        return JSON.parse(body) as ConfigurationVersion;
    }
    catch (error) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, objectName, error as Error);
    }
};
