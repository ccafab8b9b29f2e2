import type { LogPosition } from "@pomeloturn/types/LogPosition";

/** A primary's position: it covers every commit that was acknowledged before `askedAtMs`. */
export interface PositionSample {
    /** Monotonic time at which the request that showed the position was sent, in milliseconds. */
    readonly askedAtMs: number;
    readonly position: LogPosition;
}

/** Samples of one service's primary of the newest known term, oldest first. */
export interface PositionSamples {
    term: number;
    readonly samples: PositionSample[];
}

/** Samples that are closer than this to the one before are not kept. */
const MINIMUM_SPACING_MS = 20;

/** Age from which a sample is of no use to any route. */
const MAXIMUM_AGE_MS = 10_000;

export const createSamples = (): PositionSamples => ({ term: 0, samples: [] });

/** @returns whether position `a` is at or after `b` in the order of terms and numbers */
export const isAtOrAfter = (a: LogPosition, b: LogPosition): boolean => a.term > b.term || (a.term === b.term && a.position >= b.position);

/** Adds a position that an instance stated while it surely led. Positions of an earlier term are void: its log may have been cut. */
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

/** Position that proves a read's age: the oldest sample that is young enough, as most replicas hold it. */
export const findProof = ({ samples }: PositionSamples, maximumAgeMs: number, nowMs: number): LogPosition | undefined =>
    samples.find(({ askedAtMs }) => askedAtMs >= nowMs - maximumAgeMs)?.position;

/** Age of the newest sample. */
export const newestAgeMs = ({ samples }: PositionSamples, nowMs: number): number => nowMs - (samples.at(-1)?.askedAtMs ?? -Infinity);

/** Forgets all samples, as their ages are not known any more. */
export const clearSamples = (state: PositionSamples): void => {
    state.samples.length = 0;
};

/** The position that a read must see: its proof of age and the session's own commits. A commit of an earlier term is covered by any proof of the newest. */
export const combinePositions = (proof: LogPosition | undefined, own: LogPosition | undefined): LogPosition | undefined => {
    if (proof === undefined || own === undefined) {
        return proof ?? own;
    }
    return isAtOrAfter(proof, own) ? proof : own;
};
