import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { mergeConfigOrThrow, type MergedConfig } from "@pomeloturn/merge-config/mergeConfig";
import { createHash } from "node:crypto";

/** All files of one configuration version, serialized as the body of an object in the object store. */
export interface ConfigBundle {
    readonly version: number;
    readonly files: readonly ConfigFile[];
}

/** Returns the SHA-256 hash of a text in hexadecimal. */
export const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Serializes a bundle. The object name contains the hash of the body, so that a stored object is never overwritten with other content. */
export const serializeBundle = (bundle: ConfigBundle): { readonly objectName: string; readonly body: string; } => {
    const body = JSON.stringify(bundle);
    return { objectName: `config/versions/${bundle.version}-${hashText(body)}`, body };
};

/**
 * Parses the body of a bundle's object.
 *
 * @throws PomeloturnError with `ConfigurationInvalid` when the hash of the body differs from the hash in the object name
 */
export const parseBundle = (objectName: string, body: string): ConfigBundle => {
    if (!objectName.endsWith(`-${hashText(body)}`)) {
        throw PomeloturnError.create(
            ResultCode.ConfigurationInvalid,
            `the content of object ${objectName} does not match the hash in its name`,
        );
    }
    return JSON.parse(body) as ConfigBundle;
};

/**
 * Parses, merges and checks the configuration in a bundle's object, which comes from the store or from a peer.
 *
 * @throws PomeloturnError when the hash of the body differs from the hash in the object name, or when the files are invalid
 */
export const parseConfiguration = (objectName: string, body: string): { readonly version: number; } & MergedConfig => {
    const { version, files } = parseBundle(objectName, body);
    return { version, ...mergeConfigOrThrow(files) };
};
