import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { Ajv, type ErrorObject } from "ajv";
import type { ConfigProblem } from "./ConfigFile.ts";
import { configurationSchema } from "./configurationSchema.ts";
import { appendPointer } from "./jsonPointer.ts";
import type { OriginMap } from "./OriginMap.ts";

const validate = new Ajv({ allErrors: true, strictTypes: false }).compile(configurationSchema);

/** Checks a merged configuration against `configurationSchema` and reports every violation. */
export const checkSchema = (value: unknown, origins: OriginMap): ConfigProblem[] =>
    validate(value)
        ? []
        : (validate.errors ?? []).filter(({ keyword }) => keyword !== "propertyNames").map(error => toProblem(error, origins));

const toProblem = (error: ErrorObject, origins: OriginMap): ConfigProblem => {
    const { additionalProperty } = error.params as Readonly<Record<string, string>>;
    const key = additionalProperty ?? error.propertyName;
    const path = key === undefined ? error.instancePath : appendPointer(error.instancePath, key);
    return {
        code: ResultCode.ConfigurationInvalid,
        file: origins.findFiles(path),
        path: path === "" ? "/" : path,
        // Ajv reports an invalid name twice: with the keyword propertyNames, which is filtered out above, and with the keyword of the violated pattern.
        rule: error.propertyName === undefined ? error.keyword : "propertyNames",
        message: error.message ?? error.keyword,
    };
};
