/** Longest line that is accepted, in bytes. */
const MAXIMUM_LINE_BYTES = 8 * 1_024 * 1_024;
const NEWLINE = 0x0a;

/** Splits received bytes into lines. */
export class LineBuffer {
    private chunks: Buffer[] = [];
    private byteCount = 0;

    /** Adds bytes. @returns the lines that are complete now, or undefined if a line is too long */
    push(bytes: Buffer): string[] | undefined {
        const lines: string[] = [];
        let start = 0;
        for (let end = bytes.indexOf(NEWLINE); end >= 0; end = bytes.indexOf(NEWLINE, start)) {
            lines.push(Buffer.concat([...this.chunks, bytes.subarray(start, end)]).toString("utf8"));
            this.chunks = [];
            this.byteCount = 0;
            start = end + 1;
        }
        this.chunks.push(bytes.subarray(start));
        this.byteCount += bytes.length - start;
        return this.byteCount > MAXIMUM_LINE_BYTES ? undefined : lines;
    }
}
