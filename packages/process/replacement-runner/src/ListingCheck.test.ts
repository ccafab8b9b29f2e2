import { expect, it } from "vitest";
import { ListingCheck, type ListingRead } from "./ListingCheck.ts";

/** Time after the store's return in which the platform lists each instance that is alive again. */
const STATED_RETURN_MS = 2_000;

const read = (atMs: number, changes: Partial<ListingRead> = {}): ListingRead => ({
    sentAtMs: atMs,
    answeredAtMs: atMs + 10,
    era: 1,
    suspensions: 0,
    isKnown: true,
    ...changes,
});

/** Makes a read every 100 ms at which one is due. @returns when the listing became complete, in milliseconds; undefined if it did not */
const findCompletion = (answer: (atMs: number) => ListingRead | undefined, untilMs = 20_000): number | undefined => {
    const check = ListingCheck.create();
    for (let atMs = 0; atMs <= untilMs; atMs += 100) {
        if (check.takeDueRead(true, atMs)) {
            const answered = answer(atMs);
            if (answered === undefined) {
                check.recordFailure(atMs);
            }
            else if (check.recordRead(answered)) {
                return atMs;
            }
        }
    }
    return undefined;
};

it("takes the instances that are listed first for all while others may still return", () => {
    const completedAtMs = findCompletion(read)!;
    expect(completedAtMs).toBeGreaterThan(STATED_RETURN_MS);
    expect(completedAtMs).toBeLessThan(2 * STATED_RETURN_MS);
});

it.each<[what: string, brokenAtMs: number, answer: (atMs: number) => ListingRead | undefined]>([
    ["an outage of the store", 2_500, atMs => atMs >= 1_500 && atMs < 2_500 ? undefined : read(atMs)],
    ["a suspension that may hide an outage", 2_500, atMs => read(atMs, { suspensions: atMs < 2_500 ? 0 : 1 })],
    ["a restore of the store", 2_500, atMs => read(atMs, { era: atMs < 2_500 ? 1 : 2 })],
])("counts the time before %s that falls into the check", (_what, brokenAtMs, answer) => {
    expect(findCompletion(answer)).toBeGreaterThan(brokenAtMs + STATED_RETURN_MS);
});

it("counts as complete while an instance is listed that this VM does not know", () => {
    const knownFromMs = 8_000;
    expect(findCompletion(atMs => read(atMs, { isKnown: atMs >= knownFromMs }))).toBeGreaterThanOrEqual(knownFromMs);
    expect(findCompletion(atMs => read(atMs, { isKnown: false }))).toBeUndefined();
});

it("reads the listing again while a read is in progress, or when no check is needed", () => {
    const check = ListingCheck.create();
    expect([check.takeDueRead(false, 0), check.takeDueRead(true, 0), check.takeDueRead(true, 5_000)]).toEqual([false, true, false]);
});

it("counts the time in which no check was needed", () => {
    const check = ListingCheck.create();
    check.recordRead(read(0));
    expect(check.recordRead(read(60_000))).toBe(false);
    expect(check.verifiedFromMs).toBeUndefined();
});

it("takes the reads of a check that is complete for the beginning of the next one", () => {
    const check = ListingCheck.create();
    const runCheck = (fromMs: number): number => {
        let nowMs = fromMs;
        while (!check.recordRead(read(nowMs))) {
            nowMs += 1_100;
        }
        return nowMs;
    };
    const completedAtMs = runCheck(0);
    expect(check.verifiedFromMs).toBeLessThan(STATED_RETURN_MS);
    const completedAgainAtMs = runCheck(completedAtMs + 500);
    expect(check.verifiedFromMs).toBeGreaterThan(completedAtMs);
    expect(completedAgainAtMs - check.verifiedFromMs!).toBeGreaterThan(STATED_RETURN_MS);
});
