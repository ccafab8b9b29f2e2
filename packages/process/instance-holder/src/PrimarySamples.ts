import type { LogPosition } from "@pomeloturn/types/LogPosition";

const SAMPLE_LIMIT = 256;

/** A log position of the primary and the time at which it was read. */
export interface PrimarySample {
    readonly position: LogPosition;
    /** Monotonic time of this VM in milliseconds. The position covers all writes that were acknowledged before it. */
    readonly sampledAtMs: number;
}

/** Positions of a group's primary over about the last minute. They give an upper bound on the age of a replica's data. */
export class PrimarySamples {
    /** Ordered by time. */
    private readonly samples: PrimarySample[] = [];

    private constructor() {}

    static create(): PrimarySamples {
        return new PrimarySamples();
    }

    /** Adds a sample; ignores one that is not newer than the latest. */
    add(sample: PrimarySample): void {
        const last = this.samples.at(-1);
        if (last !== undefined && sample.sampledAtMs <= last.sampledAtMs) {
            return;
        }
        if (last !== undefined && sample.position.term === last.position.term && sample.position.position === last.position.position) {
            // The primary has written nothing since, so the newer sample proves a lower age at the same position.
            this.samples.pop();
        }
        this.samples.push(sample);
        if (this.samples.length > SAMPLE_LIMIT) {
            this.samples.shift();
        }
    }

    /** Returns the newest sample that is covered by data at `replayed`, or the newest of all when none is covered. */
    findCovered(replayed: LogPosition): PrimarySample | undefined {
        const covered = this.samples.findLast(({ position }) => position.term === replayed.term && position.position <= replayed.position);
        return covered ?? this.samples.at(-1);
    }
}
