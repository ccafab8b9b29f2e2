// Writes what was sent, answered and run to record.txt in the folder of the case.
import { writeFileSync } from "node:fs";
import { join } from "node:path";

export class Record {
    #lines = [];
    #startedAtMs = performance.now();

    constructor(folder) {
        this.file = join(folder, "record.txt");
    }

    add(text, atMs = performance.now()) {
        this.#lines.push([atMs, `${((atMs - this.#startedAtMs) / 1_000).toFixed(3)} s  ${text}`]);
    }

    /** Adds a line and prints it too. */
    say(text) {
        this.add(text);
        console.log(text);
    }

    write() {
        writeFileSync(this.file, this.#lines.sort(([one], [other]) => one - other).map(([, line]) => `${line}\n`).join(""));
    }
}
