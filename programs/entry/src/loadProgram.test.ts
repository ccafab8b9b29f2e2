import { copyFileSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { beforeEach, expect, it } from "vitest";
import { loadProgram } from "./loadProgram.ts";

let file: string;
let cacheFile: string;
let cache: Buffer;

beforeEach(() => {
    const folder = mkdtempSync(join(tmpdir(), "pomeloturn-program-"));
    file = join(folder, "program.cjs");
    cacheFile = join(folder, "program.cache");
    // The cache comes from a copy, as V8 keeps the scripts that this process has compiled by their file name.
    const copy = join(folder, "copy.cjs");
    writeFileSync(copy, `const { basename } = require("node:path"); exports.main = () => basename("a/started");`);
    cache = loadProgram(copy, cacheFile).script.createCachedData();
    copyFileSync(copy, file);
});

it("runs a program without a code cache", () => {
    const { exports, isCacheUsed } = loadProgram(file, cacheFile);
    expect([exports.main(), isCacheUsed]).toEqual(["started", false]);
});

it("uses the code cache of the same program", () => {
    writeFileSync(cacheFile, cache);
    const { exports, isCacheUsed } = loadProgram(file, cacheFile);
    expect([exports.main(), isCacheUsed]).toEqual(["started", true]);
});

it.each([
    ["is damaged", (written: Buffer) => written.fill(7, 0, 32)],
    ["ends early", (written: Buffer) => written.subarray(0, 20)],
    ["is empty", () => Buffer.alloc(0)],
])("runs the program when its code cache %s", (_what, damage) => {
    writeFileSync(cacheFile, damage(cache));
    const { exports, isCacheUsed } = loadProgram(file, cacheFile);
    expect([exports.main(), isCacheUsed]).toEqual(["started", false]);
});
