import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { describe, expect, it } from "vitest";
import { applyCreditReport, createCreditTracker, MAXIMUM_UNREPORTED_REQUESTS, releaseCredit, takeCredit } from "./creditTracker.ts";

describe("credit tracker of an entry proxy", () => {
    it("refuses requests to an instance whose credits are used up, without affecting other ranks and instances", () => {
        const tracker = createCreditTracker();
        applyCreditReport(tracker, "one", [2, 0], 0, 10);
        applyCreditReport(tracker, "two", [1, 1], 0, 10);
        const taken = [["one", 0], ["one", 0], ["one", 0], ["one", 1], ["two", 1]] as const;
        expect(taken.map(([instance, rank]) => takeCredit(tracker, instance, rank, 20))).toEqual([
            ResultCode.Ok,
            ResultCode.Ok,
            ResultCode.QueueFull,
            ResultCode.QueueFull,
            ResultCode.Ok,
        ]);
    });

    it("subtracts requests that were sent after the report was requested, and no earlier ones", () => {
        const tracker = createCreditTracker();
        applyCreditReport(tracker, "one", [10], 0, 10);
        takeCredit(tracker, "one", 0, 100);
        takeCredit(tracker, "one", 0, 205);
        applyCreditReport(tracker, "one", [2], 200, 220);
        expect([takeCredit(tracker, "one", 0, 221), takeCredit(tracker, "one", 0, 222)]).toEqual([ResultCode.Ok, ResultCode.QueueFull]);
    });

    it.each([["has no report of the holder", -1], ["has only an old report of the holder", 10]])(
        "limits the outstanding requests when it %s",
        (_name, reportedAtMs) => {
            const tracker = createCreditTracker();
            if (reportedAtMs >= 0) {
                applyCreditReport(tracker, "one", [0], reportedAtMs, reportedAtMs);
            }
            const codes = Array.from({ length: MAXIMUM_UNREPORTED_REQUESTS + 1 }, () => takeCredit(tracker, "one", 0, 5_000));
            expect(codes.filter(code => code === ResultCode.Ok)).toHaveLength(MAXIMUM_UNREPORTED_REQUESTS);
            releaseCredit(tracker, "one", 0, false);
            expect(takeCredit(tracker, "one", 0, 5_001)).toBe(ResultCode.Ok);
        },
    );

    it("reuses the credit of a served request before the next report, but not that of a refused one", () => {
        const tracker = createCreditTracker();
        applyCreditReport(tracker, "one", [1], 0, 10);
        takeCredit(tracker, "one", 0, 11);
        releaseCredit(tracker, "one", 0, true);
        expect(takeCredit(tracker, "one", 0, 12)).toBe(ResultCode.Ok);
        releaseCredit(tracker, "one", 0, false);
        expect(takeCredit(tracker, "one", 0, 13)).toBe(ResultCode.QueueFull);
    });
});
