import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { describe, expect, it } from "vitest";
import { createCreditLedger, receiveCredits, settleCredit, takeCredit, UNREPORTED_OUTSTANDING } from "./creditLedger.ts";

describe("credit ledger of an entry", () => {
    it("refuses at one instance what its holder cannot take and leaves the others alone", () => {
        const ledger = createCreditLedger();
        receiveCredits(ledger, "one", [2, 0], 0, 10);
        receiveCredits(ledger, "two", [1, 1], 0, 10);
        const taken = [["one", 0], ["one", 0], ["one", 0], ["one", 1], ["two", 1]] as const;
        expect(taken.map(([instance, rank]) => takeCredit(ledger, instance, rank, 20))).toEqual([
            ResultCode.Ok,
            ResultCode.Ok,
            ResultCode.QueueFull,
            ResultCode.QueueFull,
            ResultCode.Ok,
        ]);
    });

    it("counts off what was sent since the ask, and nothing older", () => {
        const ledger = createCreditLedger();
        receiveCredits(ledger, "one", [10], 0, 10);
        takeCredit(ledger, "one", 0, 100);
        takeCredit(ledger, "one", 0, 205);
        receiveCredits(ledger, "one", [2], 200, 220);
        expect([takeCredit(ledger, "one", 0, 221), takeCredit(ledger, "one", 0, 222)]).toEqual([ResultCode.Ok, ResultCode.QueueFull]);
    });

    it.each([["never heard of the holder", -1], ["last heard of it long ago", 10]])(
        "bounds what is outstanding when it %s",
        (_name, reportedAtMs) => {
            const ledger = createCreditLedger();
            if (reportedAtMs >= 0) {
                receiveCredits(ledger, "one", [0], reportedAtMs, reportedAtMs);
            }
            const codes = Array.from({ length: UNREPORTED_OUTSTANDING + 1 }, () => takeCredit(ledger, "one", 0, 5_000));
            expect(codes.filter(code => code === ResultCode.Ok)).toHaveLength(UNREPORTED_OUTSTANDING);
            settleCredit(ledger, "one", 0, false);
            expect(takeCredit(ledger, "one", 0, 5_001)).toBe(ResultCode.Ok);
        },
    );

    it("uses the place of a served request again before the next report, and not that of a refused one", () => {
        const ledger = createCreditLedger();
        receiveCredits(ledger, "one", [1], 0, 10);
        takeCredit(ledger, "one", 0, 11);
        settleCredit(ledger, "one", 0, true);
        expect(takeCredit(ledger, "one", 0, 12)).toBe(ResultCode.Ok);
        settleCredit(ledger, "one", 0, false);
        expect(takeCredit(ledger, "one", 0, 13)).toBe(ResultCode.QueueFull);
    });
});
