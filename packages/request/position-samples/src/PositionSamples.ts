import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** A primary's position. It covers every commit that was acknowledged before `askedAtMs`. */
export interface PositionSample {
    /** Monotonic time at which the request whose reply contained the position was sent, in milliseconds. */
    readonly askedAtMs: number;
    readonly position: LogPosition;
}

/** Position samples of a service's primary in the newest known term, oldest first. */
export interface PositionSamples {
    term: number;
    readonly samples: PositionSample[];
}

/** Smallest time between two samples; of samples that are closer, only the last one is kept. */
const MINIMUM_SPACING_MS = 20;

/** Age above which a sample is dropped, as no route accepts data that old. */
const MAXIMUM_AGE_MS = 10_000;

export const createSamples = (): PositionSamples => ({ term: 0, samples: [] });

/** Returns whether position `a` is at or after `b`, ordered by term and then by position. */
export const isAtOrAfter = (a: LogPosition, b: LogPosition): boolean => a.term > b.term || (a.term === b.term && a.position >= b.position);

/**
 * Adds a position that an instance reported while it was certainly the primary. Positions of an earlier term are ignored or
 * dropped, as that term's log may have been truncated.
 */
export const addSample = (state: PositionSamples, sample: PositionSample, nowMs: number): void => {
    if (sample.position.term < state.term) {
        return;
    }
    if (sample.position.term > state.term) {
        state.term = sample.position.term;
        state.samples.length = 0;
    }
    const { samples } = state;
    while (samples.length > 0 && samples[0]!.askedAtMs < nowMs - MAXIMUM_AGE_MS) {
        samples.shift();
    }
    const beforeLast = samples.at(-2);
    const last = samples.at(-1);
    if (last !== undefined && sample.askedAtMs <= last.askedAtMs) {
        return;
    }
    if (last !== undefined && beforeLast !== undefined && last.askedAtMs - beforeLast.askedAtMs < MINIMUM_SPACING_MS) {
        samples.pop();
    }
    samples.push(sample);
};

/**
 * Finds the position whose replay proves that a replica's data is at most `maximumAgeMs` old: the oldest sample within
 * that age, as more replicas have replayed it.
 *
 * @returns undefined when no sample is recent enough
 */
export const findProvenPosition = ({ samples }: PositionSamples, maximumAgeMs: number, nowMs: number): LogPosition | undefined =>
    samples.find(({ askedAtMs }) => askedAtMs >= nowMs - maximumAgeMs)?.position;

/** Returns the age of the newest sample in milliseconds; Infinity when there is none. */
export const newestSampleAgeMs = ({ samples }: PositionSamples, nowMs: number): number => nowMs - (samples.at(-1)?.askedAtMs ?? -Infinity);

/** Removes all samples. Call it when their ages are no longer known, such as after a suspension of the process. */
export const clearSamples = (state: PositionSamples): void => {
    state.samples.length = 0;
};

/**
 * Returns the position that a read must see: the later one of its proof of age and the session's last own commit. A
 * commit of an earlier term is covered by any proof of the newest term.
 */
export const laterPosition = (proof: LogPosition | undefined, own: LogPosition | undefined): LogPosition | undefined => {
    if (proof === undefined || own === undefined) {
        return proof ?? own;
    }
    return isAtOrAfter(proof, own) ? proof : own;
};
