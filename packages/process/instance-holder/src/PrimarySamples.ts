import type { LogPosition } from "@pomeloturn/types/LogPosition";

const SAMPLE_LIMIT = 256;

/** A position that the primary had reached at a moment. */
export interface PrimarySample {
    readonly position: LogPosition;
    /** Monotonic time of this VM in milliseconds; the position covers all that was acknowledged before it. */
    readonly sampledAtMs: number;
}

/** Positions of a group's primary over the last minute or so, for the proof of how old a replica's data is. */
export class PrimarySamples {
    /** Ordered by time. */
    private readonly samples: PrimarySample[] = [];

    private constructor() {}

    static create(): PrimarySamples {
        return new PrimarySamples();
    }

    add(sample: PrimarySample): void {
        const last = this.samples.at(-1);
        if (last !== undefined && sample.sampledAtMs <= last.sampledAtMs) {
            return;
        }
        if (last !== undefined && sample.position.term === last.position.term && sample.position.position === last.position.position) {
            // The primary wrote nothing since: the same position proves a younger age.
            this.samples.pop();
        }
        this.samples.push(sample);
        if (this.samples.length > SAMPLE_LIMIT) {
            this.samples.shift();
        }
    }

    /** The youngest sample that data at `replayed` covers, or the youngest of all when it covers none. */
    findCovered(replayed: LogPosition): PrimarySample | undefined {
        const covered = this.samples.findLast(({ position }) => position.term === replayed.term && position.position <= replayed.position);
        return covered ?? this.samples.at(-1);
    }
}
