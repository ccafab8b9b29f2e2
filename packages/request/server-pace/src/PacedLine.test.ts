import { describe, expect, it } from "vitest";
import { expectWaitMs, joinLine, type PacedLine, type PacedStatement, stepLine } from "./PacedLine.ts";
import { createServerPace, recordLoss, recordStart, type ServerPace } from "./ServerPace.ts";

const LIMIT_MS = 10_000;

const createLine = (ranks: readonly number[], limitAtMs = LIMIT_MS): PacedLine<PacedStatement> => {
    const line: PacedLine<PacedStatement> = [];
    ranks.forEach(rank => joinLine(line, { rank, limitAtMs }));
    return line;
};

/** Pace of an instance that has failed for some time: one attempt per 800 ms. */
const createSlowPace = (): ServerPace => {
    const pace = createServerPace();
    for (let index = 0; index < 10; index++) {
        recordLoss(pace, { sentAtMs: index, inFlightCount: 1, random: 1 / 2 }, index);
    }
    return pace;
};

describe("line of an instance", () => {
    it("would fail if a statement waited at an instance without trouble", () => {
        const line = createLine([2, 1, 0, 2]);
        expect(stepLine(line, createServerPace(), 50, 0).allowed).toHaveLength(4);
    });

    it("would fail if a lower rank or a newer statement went first", () => {
        const pace = createSlowPace();
        const line = createLine([2, 0, 1]);
        const order: number[] = [];
        for (let nowMs = 10, next: number | undefined = 0; next !== undefined && nowMs < LIMIT_MS; nowMs += next ?? 0) {
            const { allowed, recheckMs } = stepLine(line, pace, 0, nowMs);
            order.push(...allowed.map(({ rank }) => rank));
            next = recheckMs;
        }
        expect(order).toEqual([0, 1, 2]);
    });

    it("would fail if more statements started at once than the window allows", () => {
        const pace = createServerPace();
        recordStart(pace, 4, 1, 0, 0);
        const line = createLine([2, 2, 2, 2, 2, 2]);
        expect(stepLine(line, pace, 1, 0).allowed).toHaveLength(3);
        expect(line).toHaveLength(3);
    });

    it("would fail if a statement whose turn comes too late were held until its limit", () => {
        const pace = createSlowPace();
        const line = createLine([2], 50);
        const { refused } = stepLine(line, pace, 0, 10);
        expect(refused).toHaveLength(1);
        expect(refused[0]!.retryAfterMs).toBeGreaterThan(40);
        expect(line).toHaveLength(0);
    });

    it("would fail if the expected wait did not grow with the statements ahead", () => {
        const pace = createSlowPace();
        expect(expectWaitMs(createLine([2, 2, 2]), pace, 0, 2, 10)).toBeGreaterThan(expectWaitMs(createLine([2]), pace, 0, 2, 10));
        expect(expectWaitMs(createLine([2, 2, 2]), pace, 0, 0, 10)).toBeLessThan(expectWaitMs(createLine([]), pace, 0, 2, 10));
    });
});
