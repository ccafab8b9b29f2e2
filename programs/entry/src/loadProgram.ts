import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { Script } from "node:vm";

/** A compiled CommonJS module. */
export interface LoadedProgram {
    readonly exports: { main: () => void; };
    readonly script: Script;
    /** Whether V8 used the code cache; false without one, or with one of another version or other V8 options. */
    readonly isCacheUsed: boolean;
}

/**
 * Loads a CommonJS module with V8's code cache, so that a restarted process need not compile it again.
 *
 * @param file absolute path of the module
 * @param cacheFile absolute path of the code cache; it need not exist
 */
export const loadProgram = (file: string, cacheFile: string): LoadedProgram => {
    const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
    const source = `(function (exports, require, module) { ${readFileSync(file, "utf8")}\n})`;
    const script = new Script(source, { filename: file, ...(cachedData === undefined ? {} : { cachedData }) });
    const module = { exports: {} as LoadedProgram["exports"] };
    const evaluate = script.runInThisContext() as (exports: object, require: NodeJS.Require, module: object) => void;
    evaluate(module.exports, createRequire(file), module);
    return { exports: module.exports, script, isCacheUsed: cachedData !== undefined && script.cachedDataRejected === false };
};
