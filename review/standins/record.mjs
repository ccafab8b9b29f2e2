import { writeFileSync } from "node:fs";

/** What a case has sent, been answered and seen run, with milliseconds since its start. Written to `record.txt` in the case's folder. */
export class Record {
    #lines = [];
    #startedAtMs = performance.now();

    /** @param file path of `record.txt` */
    constructor(file) {
        this.file = file;
    }

    get elapsedMs() {
        return performance.now() - this.#startedAtMs;
    }

    add(text) {
        this.#lines.push(`${this.elapsedMs.toFixed(0).padStart(7)} ${text}`);
    }

    /** Adds a line and also prints it. */
    say(text) {
        this.add(text);
        console.log(this.#lines.at(-1));
    }

    save() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}
