import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { type MergedConfig, requireConfig } from "@pomeloturn/merge-config/mergeConfig";
import { createHash } from "node:crypto";

/** All files of one configuration version; the body of an object in the store. */
export interface ConfigBundle {
    readonly version: number;
    readonly files: readonly ConfigFile[];
}

/** SHA-256 of a text, in hexadecimal. */
export const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Body and name of a bundle's object. The name follows from the body, so that no object is ever changed. */
export const packBundle = (bundle: ConfigBundle): { readonly objectName: string; readonly body: string; } => {
    const body = JSON.stringify(bundle);
    return { objectName: `config/versions/${bundle.version}-${hashText(body)}`, body };
};

/** Reads a bundle's object. @throws PomeloturnError with `ConfigurationInvalid` when the body is not the one that was named */
export const openBundle = (objectName: string, body: string): ConfigBundle => {
    if (!objectName.endsWith(`-${hashText(body)}`)) {
        throw PomeloturnError.create(ResultCode.ConfigurationInvalid, `object ${objectName} does not match its name`);
    }
    return JSON.parse(body) as ConfigBundle;
};

/**
 * Reads the configuration that a bundle's object holds, from the store or from a peer.
 *
 * @throws PomeloturnError when the object is not the one that was named or its files are invalid
 */
export const openConfiguration = (objectName: string, body: string): { readonly version: number; } & MergedConfig => {
    const { version, files } = openBundle(objectName, body);
    return { version, ...requireConfig(files) };
};
