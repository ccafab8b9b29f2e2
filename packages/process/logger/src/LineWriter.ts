import { SonicBoom } from "sonic-boom";

/** Buffer for a reader that does not keep up; further lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;
/** Time that a flush waits for the buffered lines to be written. */
const FLUSH_TIMEOUT_MS = 200;

/** Writes lines to a file descriptor without blocking the process. */
export class LineWriter {
    private droppedCount = 0;

    private constructor(private readonly stream: SonicBoom) {
        stream.on("drop", () => this.droppedCount++);
        // A closed pipe must not end the process; lines that cannot be written are counted as dropped.
        stream.on("error", () => this.droppedCount++);
    }

    static create(descriptor: number): LineWriter {
        return new LineWriter(new SonicBoom({ fd: descriptor, sync: false, maxLength: MAXIMUM_BUFFERED_BYTES }));
    }

    write(line: string): void {
        this.stream.write(`${line}\n`);
    }

    /** Resets the count of dropped lines. @returns the number of lines dropped since the last call */
    takeDroppedCount(): number {
        const count = this.droppedCount;
        this.droppedCount = 0;
        return count;
    }

    /** Calls back once all lines are written, or after the flush timeout when nobody reads them. */
    flush(onFlushed: () => void): void {
        let isFlushed = false;
        const finish = (): void => {
            if (!isFlushed) {
                isFlushed = true;
                onFlushed();
            }
        };
        setTimeout(finish, FLUSH_TIMEOUT_MS);
        this.stream.flush(finish);
    }
}
