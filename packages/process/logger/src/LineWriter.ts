import { SonicBoom } from "sonic-boom";

/** Bytes that wait for a reader that does not read; further lines are dropped and counted. */
const MAXIMUM_WAITING_BYTES = 256 * 1024;
/** Time that a shutdown waits for the last lines. */
const FLUSH_LIMIT_MS = 200;

/** Writes lines to a descriptor without ever blocking the process. */
export class LineWriter {
    private droppedCount = 0;

    private constructor(private readonly stream: SonicBoom) {
        stream.on("drop", () => this.droppedCount++);
        // A reader that has gone must not end the process; what it does not get is counted as dropped.
        stream.on("error", () => this.droppedCount++);
    }

    static create(descriptor: number): LineWriter {
        return new LineWriter(new SonicBoom({ fd: descriptor, sync: false, maxLength: MAXIMUM_WAITING_BYTES }));
    }

    write(line: string): void {
        this.stream.write(`${line}\n`);
    }

    /** @returns lines that were dropped since the last call */
    takeDropped(): number {
        const count = this.droppedCount;
        this.droppedCount = 0;
        return count;
    }

    /** Calls back once the lines are out, or after a short time when nobody reads them. */
    flush(onFlushed: () => void): void {
        let isFlushed = false;
        const finish = (): void => {
            if (!isFlushed) {
                isFlushed = true;
                onFlushed();
            }
        };
        setTimeout(finish, FLUSH_LIMIT_MS);
        this.stream.flush(finish);
    }
}
