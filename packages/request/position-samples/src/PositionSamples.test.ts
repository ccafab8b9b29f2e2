import { describe, expect, it } from "vitest";
import {
    addSample,
    clearSamples,
    createSamples,
    findProvenPosition,
    isAtOrAfter,
    laterPosition,
    newestSampleAgeMs,
} from "./PositionSamples.ts";

const at = (
    askedAtMs: number,
    position: number,
    term = 1,
): { readonly askedAtMs: number; readonly position: { term: number; position: number; }; } => ({
    askedAtMs,
    position: { term, position },
});

describe("samples of a primary's position", () => {
    it("prove an age by the oldest sample within it", () => {
        const samples = createSamples();
        [at(100, 10), at(400, 20), at(900, 30)].forEach(sample => addSample(samples, sample, 1_000));
        expect(findProvenPosition(samples, 700, 1_000)).toEqual({ term: 1, position: 20 });
        expect(findProvenPosition(samples, 100, 1_000)).toEqual({ term: 1, position: 30 });
        expect(findProvenPosition(samples, 99, 1_000)).toBeUndefined();
        expect(newestSampleAgeMs(samples, 1_000)).toBe(100);
    });

    it("are dropped or ignored when they are of an earlier term", () => {
        const samples = createSamples();
        addSample(samples, at(100, 50), 200);
        addSample(samples, at(300, 40, 2), 300);
        addSample(samples, at(350, 60, 1), 350);
        expect(findProvenPosition(samples, 1_000, 400)).toEqual({ term: 2, position: 40 });
    });

    it("are dropped after a suspension", () => {
        const samples = createSamples();
        addSample(samples, at(100, 50), 200);
        clearSamples(samples);
        expect(findProvenPosition(samples, 1_000, 200)).toBeUndefined();
    });

    it("give the later one of the proof and the session's own commit", () => {
        const [older, newer, nextTerm] = [at(0, 5).position, at(0, 9).position, at(0, 2, 2).position];
        expect(laterPosition(older, newer)).toBe(newer);
        expect(laterPosition(newer, older)).toBe(newer);
        expect(laterPosition(nextTerm, newer)).toBe(nextTerm);
        expect(laterPosition(undefined, older)).toBe(older);
        expect(isAtOrAfter(nextTerm, newer)).toBe(true);
    });
});
