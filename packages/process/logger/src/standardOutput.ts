import { LineWriter } from "./LineWriter.ts";

const STANDARD_OUTPUT_DESCRIPTOR = 1;

let writer: LineWriter | undefined;

/** Returns the process's only writer of log lines, which is opened on first use. */
export const standardOutput = (): LineWriter => writer ??= LineWriter.create(STANDARD_OUTPUT_DESCRIPTOR);
