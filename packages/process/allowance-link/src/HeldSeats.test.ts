import { beforeEach, describe, expect, it } from "vitest";
import { type HeldSeat, HeldSeats } from "./HeldSeats.ts";

const LIMITS = { operationsPerS: 10, capacityOperations: 2 };
const WAIT_MS = 15_000;
const NOT_HOLDER = { kind: "not-holder" };
const GRANTED = { kind: "granted" };
const ALL = new Set(["new", "other", "former"]);

/** VM that held the seat before "former". */
let holderBefore: string | undefined;

beforeEach(() => {
    holderBefore = undefined;
});

const createSeat = (formers: readonly string[] = [], isHeld = true): HeldSeat => ({ team: "team", seat: 0, isHeld, formers });

const createHeld = (seat: HeldSeat | undefined, listed: ReadonlySet<string> = ALL): HeldSeats => {
    const held = HeldSeats.create(WAIT_MS, (_team, _seat, passed) => passed.includes("former") ? holderBefore : undefined);
    held.replace(seat === undefined ? [] : [seat], listed, 0);
    return held;
};

const take = (held: HeldSeats, nowMs: number): object => held.take("team", 0, LIMITS, nowMs);

describe("HeldSeats", () => {
    it("would fail if a seat started with tokens, which its former holder may have granted", () => {
        const held = createHeld(createSeat());
        expect(take(held, 0)).toEqual({ kind: "refused", retryAfterMs: 100 });
        expect(take(held, 100)).toEqual(GRANTED);
    });

    it("would fail if a VM granted operations of a seat that it does not hold", () => {
        expect(take(createHeld(undefined), 1_000)).toEqual(NOT_HOLDER);
        expect(take(createHeld(createSeat(["former"], false)), 1_000)).toEqual(NOT_HOLDER);
    });

    it("would fail if the bucket filled while the former holder still granted", () => {
        const held = createHeld(createSeat(["former"]));
        expect(take(held, 10_000)).toEqual(NOT_HOLDER);
        held.confirm("team", 0, "former", 10_000);
        expect(take(held, 10_000)).toEqual({ kind: "refused", retryAfterMs: 100 });
        expect(take(held, 10_100)).toEqual(GRANTED);
    });

    it("would fail if a former holder that never answers kept the seat from granting for ever, or no longer than a partition lasts", () => {
        const held = createHeld(createSeat(["former"]));
        expect(take(held, 14_999)).toEqual(NOT_HOLDER);
        expect(take(held, 15_100)).toEqual(GRANTED);
        expect(held.listUnconfirmed(15_100)).toEqual([]);
    });

    it("would fail if a seat waited for a VM that has stopped and left", () => {
        const held = createHeld(createSeat(["former"]));
        held.replace([createSeat()], new Set(["new"]), 1_000);
        expect(take(held, 1_100)).toEqual(GRANTED);
    });

    it.each([
        ["has left", (held: HeldSeats) => held.replace([createSeat()], new Set(["new", "before"]), 1_000)],
        ["has lost its state", (held: HeldSeats) => held.confirmOnly("team", 0, "former", 1_000)],
    ])("would fail if a seat did not wait for the holder before a former holder that %s", (_what, pass) => {
        holderBefore = "before";
        const held = createHeld(createSeat(["former"]), new Set([...ALL, "before"]));
        pass(held);
        expect(take(held, 2_000)).toEqual(NOT_HOLDER);
        held.confirm("team", 0, "before", 2_000);
        expect(take(held, 2_100)).toEqual(GRANTED);
    });

    it("would fail if one of two former holders were enough", () => {
        const held = createHeld(createSeat(["former", "other"]));
        held.confirm("team", 0, "former", 0);
        expect(take(held, 1_000)).toEqual(NOT_HOLDER);
        expect(held.listUnconfirmed(1_000)).toMatchObject([{ formers: ["other"] }]);
    });

    it("would fail if a holder granted after it had given its seat up to a VM that it does not list", () => {
        const held = createHeld(createSeat(), new Set(["former"]));
        expect(held.yieldTo("new", "team", 0, 1_000)).toBe(true);
        expect(take(held, 1_000)).toEqual(NOT_HOLDER);
    });

    it("would fail if a holder granted after it had given its seat up to a listed VM that holds it by a newer list", () => {
        const held = createHeld(createSeat());
        held.yieldTo("other", "team", 0, 1_000);
        held.replace([createSeat()], ALL, 2_000);
        expect(take(held, 3_000)).toEqual(NOT_HOLDER);
    });

    it("would fail if an older list that arrives after a takeover made this VM the holder", () => {
        const held = createHeld(undefined, new Set(["former", "gone"]));
        held.yieldTo("new", "team", 0, 0);
        held.replace([createSeat()], new Set(["former"]), 100);
        expect(take(held, 1_000)).toEqual(NOT_HOLDER);
    });

    it("would fail if a VM that took a seat over and left kept its next holder from granting", () => {
        const held = createHeld(createSeat(), new Set(["former"]));
        held.yieldTo("new", "team", 0, 0);
        held.replace([], ALL, 100);
        held.replace([createSeat()], new Set(["former"]), 200);
        expect(take(held, 300)).toEqual(GRANTED);
    });

    it("would fail if a VM that took a seat over and was never listed kept it from being granted for ever", () => {
        const held = createHeld(createSeat(), new Set(["former"]));
        held.yieldTo("new", "team", 0, 0);
        held.expire(30_000);
        expect(take(held, 30_000)).toEqual(GRANTED);
    });

    it("would fail if a VM gave up a seat whose former holder has not answered it", () => {
        const held = createHeld(createSeat(["former"]), new Set(["former", "other"]));
        expect(held.yieldTo("new", "team", 0, 100)).toBe(false);
        held.replace([], ALL, 200);
        expect(held.yieldTo("new", "team", 0, 300)).toBe(false);
        expect(held.listUnconfirmed(300)).toHaveLength(1);
        held.confirm("team", 0, "former", 400);
        expect(held.yieldTo("new", "team", 0, 500)).toBe(true);
    });

    it("would fail if a VM that shuts down granted, or gave up a seat whose former holder has not answered it", () => {
        const held = createHeld(createSeat(["former"]));
        held.clear(100);
        expect(held.yieldTo("new", "team", 0, 200)).toBe(false);
        held.confirm("team", 0, "former", 300);
        expect(take(held, 1_000)).toEqual(NOT_HOLDER);
        expect(held.count).toBe(0);
    });
});
