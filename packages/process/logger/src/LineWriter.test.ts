import { execFileSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, read, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { afterEach, beforeEach, expect, it } from "vitest";
import { LineWriter } from "./LineWriter.ts";

const LINE = "x".repeat(1_000);
/** More than a pipe and the writer hold together. */
const LINE_COUNT = 1_000;

let folder: string;
let descriptor: number;

beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "line-writer-"));
    execFileSync("mkfifo", [join(folder, "pipe")]);
    descriptor = openSync(join(folder, "pipe"), constants.O_RDWR);
});

afterEach(() => {
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
});

const readBytes = promisify(read);

/** Reads beside the writer, which puts more into the pipe as there is room. */
const readAll = async (expectedBytes: number): Promise<string> => {
    const buffer = Buffer.alloc(expectedBytes);
    for (let length = 0; length < expectedBytes;) {
        length += (await readBytes(descriptor, buffer, length, expectedBytes - length, null)).bytesRead;
    }
    return buffer.toString();
};

it("writes lines in order, and calls back when they are out", async () => {
    const writer = LineWriter.create(descriptor);
    writer.write("one");
    writer.write("two");
    await new Promise<void>(resolve => writer.flush(resolve));
    expect(await readAll("one\ntwo\n".length)).toBe("one\ntwo\n");
    expect(writer.takeDropped()).toBe(0);
});

it("goes on when nobody reads, and counts the lines that it drops", async () => {
    const writer = LineWriter.create(descriptor);
    for (let index = 0; index < LINE_COUNT; index++) {
        writer.write(LINE);
        await new Promise(resolve => setImmediate(resolve));
    }
    await new Promise<void>(resolve => writer.flush(resolve));
    const dropped = writer.takeDropped();
    expect(dropped).toBeGreaterThan(0);
    expect(dropped).toBeLessThan(LINE_COUNT);
    // The write that waits in the kernel ends only when it is read.
    expect(await readAll((LINE_COUNT - dropped) * (LINE.length + 1))).toMatch(/^(x+\n)+$/);
});
