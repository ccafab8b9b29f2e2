import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type AllowanceMessage, decodeAllowanceMessage, encodeAllowanceMessage } from "./allowanceMessages.ts";

const MESSAGES: readonly AllowanceMessage[] = [
    { kind: "ask", number: 7, seat: 3, team: "gozi510", sender: "vm-1" },
    { kind: "takeover", number: 8, seat: 0, team: "gozi510", sender: "vm-2" },
    { kind: "granted", number: 9 },
    { kind: "not-holder", number: 10 },
    { kind: "yielded", number: 11 },
    { kind: "refused", number: 12, retryAfterMs: 40 },
];

describe("allowance messages", () => {
    it.each(MESSAGES.map(message => [message.kind, message] as const))("decodes what was encoded: %s", (_kind, message) => {
        expect(decodeAllowanceMessage(encodeAllowanceMessage(message))).toEqual(message);
    });

    it("rounds times up, and keeps one that never comes a number", () => {
        expect(encodeAllowanceMessage({ kind: "refused", number: 1, retryAfterMs: 0.2 })).toBe("refused 1 1");
        const never = decodeAllowanceMessage(encodeAllowanceMessage({ kind: "refused", number: 1, retryAfterMs: Infinity }));
        expect(never).toMatchObject({ kind: "refused" });
    });

    it.each([
        "",
        "ask",
        "ask 1",
        "ask 1 0",
        "ask 1 0 team",
        "ask x 0 team vm",
        "ask 1 -1 team vm",
        "ask 1 1e9 team vm",
        "refused 1",
        "refused 1 -4",
        "other 1",
    ])(
        "would fail if it took \"%s\" for a message",
        text => {
            expect(decodeAllowanceMessage(text)).toBeUndefined();
        },
    );

    it("would fail if a datagram of any content threw", () => {
        fc.assert(fc.property(fc.string(), text => void decodeAllowanceMessage(text)), { seed: 34 });
    });
});
