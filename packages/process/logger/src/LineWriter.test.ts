import { execFileSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, read, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { afterEach, beforeEach, expect, it } from "vitest";
import { LineWriter } from "./LineWriter.ts";

const LINE = "x".repeat(1_000);
/** More lines than the pipe and the writer can buffer together. */
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

/** Reads concurrently with the writer, which fills the pipe as space becomes free. */
const readAll = async (expectedBytes: number): Promise<string> => {
    const buffer = Buffer.alloc(expectedBytes);
    for (let length = 0; length < expectedBytes;) {
        length += (await readBytes(descriptor, buffer, length, expectedBytes - length, null)).bytesRead;
    }
    return buffer.toString();
};

it("writes lines in order and calls back when they are written", async () => {
    const writer = LineWriter.create(descriptor);
    writer.write("one");
    writer.write("two");
    await new Promise<void>(resolve => writer.flush(resolve));
    expect(await readAll("one\ntwo\n".length)).toBe("one\ntwo\n");
    expect(writer.takeDroppedCount()).toBe(0);
});

it("does not block when nobody reads, and counts the dropped lines", async () => {
    const writer = LineWriter.create(descriptor);
    for (let index = 0; index < LINE_COUNT; index++) {
        writer.write(LINE);
        await new Promise(resolve => setImmediate(resolve));
    }
    await new Promise<void>(resolve => writer.flush(resolve));
    const dropped = writer.takeDroppedCount();
    expect(dropped).toBeGreaterThan(0);
    expect(dropped).toBeLessThan(LINE_COUNT);
    // The pending write in the kernel completes only when the pipe is read.
    expect(await readAll((LINE_COUNT - dropped) * (LINE.length + 1))).toMatch(/^(x+\n)+$/);
});
