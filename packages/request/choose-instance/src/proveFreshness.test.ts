import type { InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import { describe, expect, it } from "vitest";
import { Coverage, type GroupHistory, positionCoverage } from "./positionCoverage.ts";
import { proveFreshness } from "./proveFreshness.ts";

const at = (term: number, position: number): { term: number; position: number; } => ({ term, position });

const ONE_TERM: GroupHistory = { term: 1, history: [at(1, 0)] };
const PROMOTED: GroupHistory = { term: 2, history: [at(1, 0), at(2, 500)] };
/** Term 3 starts at a lower position than term 2: its primary had not replayed the log up to the start of term 2. */
const SECOND_PROMOTION_LOWER: GroupHistory = { term: 3, history: [at(1, 0), at(2, 500), at(3, 400)] };
const OLD_TERMS_DROPPED: GroupHistory = { term: 9, history: [at(7, 900), at(8, 1_000), at(9, 1_100)] };

describe("positionCoverage", () => {
    it.each([
        ["no position", ONE_TERM, at(1, 100), at(0, 0), Coverage.Covered],
        ["reached", ONE_TERM, at(1, 100), at(1, 100), Coverage.Covered],
        ["lagging replica", ONE_TERM, at(1, 99), at(1, 100), Coverage.Behind],
        ["old token before the promotion point", PROMOTED, at(2, 600), at(1, 500), Coverage.Covered],
        ["old token past the promotion point", PROMOTED, at(2, 600), at(1, 501), Coverage.Lost],
        ["replica that has not replayed the new term", PROMOTED, at(1, 450), at(1, 400), Coverage.Covered],
        ["diverged old primary with a higher position", PROMOTED, at(1, 900), at(2, 600), Coverage.Diverged],
        ["diverged old primary, old token", PROMOTED, at(1, 900), at(1, 400), Coverage.Diverged],
        ["diverged old primary, no token", PROMOTED, at(1, 900), at(0, 0), Coverage.Diverged],
        ["token of a term newer than the known history", ONE_TERM, at(1, 900), at(2, 100), Coverage.UnknownTerm],
        ["replica of a term newer than the known history", ONE_TERM, at(2, 900), at(1, 100), Coverage.UnknownTerm],
        ["two promotions in succession, write lost in the second", SECOND_PROMOTION_LOWER, at(3, 700), at(1, 450), Coverage.Lost],
        ["two promotions in succession, write kept by both", SECOND_PROMOTION_LOWER, at(3, 700), at(1, 400), Coverage.Covered],
        ["replica on the branch that the second promotion abandoned", SECOND_PROMOTION_LOWER, at(2, 600), at(3, 450), Coverage.Diverged],
        ["token of a term that is no longer retained", OLD_TERMS_DROPPED, at(9, 1_200), at(5, 10), Coverage.Lost],
        ["token of the term before the oldest retained one", OLD_TERMS_DROPPED, at(9, 1_200), at(6, 900), Coverage.Covered],
    ])("%s", (_name, group, replayed, required, expected) => {
        expect(positionCoverage(replayed, required, group)).toBe(expected);
    });
});

const status = (changes: Partial<InstanceStatus>): InstanceStatus => ({
    replayed: at(1, 100),
    primarySample: at(1, 90),
    primarySampledAtMs: 1_000,
    receivedAtMs: 1_010,
    freeSlots: 1,
    queued: [],
    credits: [],
    isReachable: true,
    serviceTimeUs: 100,
    ...changes,
});

describe("proveFreshness", () => {
    const NOW_MS = 1_400;
    it.each([
        ["no age limit, no report", {}, undefined, at(0, 0), Infinity, true],
        ["own write, no report", { position: at(1, 70) }, undefined, at(1, 70), Infinity, true],
        ["own write, replayed", { position: at(1, 100) }, status({}), at(1, 100), Infinity, true],
        ["own write, not replayed at the last report", { position: at(1, 101) }, status({}), at(1, 101), Infinity, false],
        ["age within the limit", { maximumAgeMs: 500 }, status({}), at(1, 90), 1_500, true],
        ["age and a later own write", { maximumAgeMs: 500, position: at(1, 95) }, status({}), at(1, 95), 1_500, true],
        ["age and an own write after the report", { maximumAgeMs: 500, position: at(1, 101) }, status({}), at(1, 101), 1_500, false],
        ["age and an earlier own write", { maximumAgeMs: 500, position: at(1, 5) }, status({}), at(1, 90), 1_500, true],
    ])("returns the required proof for: %s", (_name, read, known, requiredPosition, validUntilMs, isPositionReported) => {
        const requirement = { position: undefined, maximumAgeMs: undefined, ...read };
        expect(proveFreshness(requirement, known, ONE_TERM, NOW_MS)).toEqual({ requiredPosition, validUntilMs, isPositionReported });
    });

    it.each([
        ["a diverged replica", {}, status({ replayed: at(0, 50) })],
        ["an age beyond the limit", { maximumAgeMs: 399 }, status({})],
        ["an age without a sample", { maximumAgeMs: 500 }, status({ primarySample: at(0, 0) })],
        ["an age without a status", { maximumAgeMs: 500 }, undefined],
        ["an age when the sample is not replayed", { maximumAgeMs: 500 }, status({ replayed: at(1, 89) })],
        ["an instance that cannot be reached", {}, status({ isReachable: false })],
    ])("refuses %s", (_name, read, known) => {
        expect(proveFreshness({ position: undefined, maximumAgeMs: undefined, ...read }, known, PROMOTED, NOW_MS)).toBeUndefined();
    });
});
