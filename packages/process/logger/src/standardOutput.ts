import { LineWriter } from "./LineWriter.ts";

const STANDARD_OUTPUT = 1;

let writer: LineWriter | undefined;

/** The process's one writer of log lines, opened when the first line comes. */
export const standardOutput = (): LineWriter => writer ??= LineWriter.create(STANDARD_OUTPUT);
