import { array, assert, boolean, constantFrom, integer, nat, oneof, property, record } from "fast-check";
import { describe, expect, it } from "vitest";
import { deriveCallerLimits } from "./CallerLimits.ts";
import {
    addCaller,
    CallerLimit,
    type CallerLoad,
    type CallerUse,
    chooseOverload,
    createCallerLoad,
    decideAccept,
    findExpired,
    mayRead,
    mayStart,
    recordRead,
    recordUse,
    removeCaller,
    takeResumed,
} from "./CallerLoad.ts";

const MB = 1_048_576;
const LIMITS = { heldBytes: 16 * MB, connections: 8, unfinishedMessageMs: 1_000, unreadAnswersMs: 2_000 };
const IDLE: CallerUse = { waitingBytes: 0, runningBytes: 0, storedBytes: 0, isStarted: true, isUnfinished: false, isUnread: false };
const RUNS = { numRuns: 500 };

const createLoad = (uses: readonly Partial<CallerUse>[]): CallerLoad => {
    const load = createCallerLoad(LIMITS);
    uses.forEach((use, id) => {
        addCaller(load, id, 0);
        recordUse(load, id, { ...IDLE, ...use }, 0);
    });
    return load;
};

/** Closes callers as long as the process holds too much. @returns the closed callers in this order */
const closeOverload = (load: CallerLoad): number[] => {
    const closed: number[] = [];
    for (let closure = chooseOverload(load); closure !== undefined; closure = chooseOverload(load)) {
        closed.push(closure.id);
        removeCaller(load, closure.id);
    }
    return closed;
};

describe("deriveCallerLimits", () => {
    it("leaves the smallest VM less than it needs for other purposes", () => {
        const limits = deriveCallerLimits({ memoryMb: 202, descriptors: 2_167 });
        expect(limits).toEqual({ heldBytes: 21_181_235, connections: 1_475, unfinishedMessageMs: 15_000, unreadAnswersMs: 30_000 });
    });

    it("leaves no room for a message of the largest size, or for any caller, on a very small machine", () => {
        expect(deriveCallerLimits({ memoryMb: 16, descriptors: 64 })).toMatchObject({ heldBytes: 8 * MB, connections: 16 });
    });

    it("ignores limits of the settings", () => {
        expect(deriveCallerLimits({ memoryMb: 202, descriptors: 2_167 }, LIMITS)).toEqual(LIMITS);
    });
});

describe("connections", () => {
    it("accepts more than the limit", () => {
        const load = createLoad(Array.from({ length: 7 }, () => ({})));
        expect(decideAccept(load, 0)).toEqual({ isAccepted: true });
        addCaller(load, 7, 0);
        recordUse(load, 7, IDLE, 0);
        expect(decideAccept(load, 60_000)).toEqual({ isAccepted: false });
    });

    it("refuses a caller although others have not sent a start-up message for long", () => {
        const load = createLoad(Array.from({ length: 8 }, (_each, id) => ({ isStarted: id !== 3 })));
        expect(decideAccept(load, 900)).toEqual({ isAccepted: false });
        expect(decideAccept(load, 1_100)).toEqual({ isAccepted: true, closedId: 3 });
    });
});

describe("held bytes", () => {
    it("closes a small holder before a large one, or more than it has to", () => {
        const load = createLoad([{ waitingBytes: 5 * MB }, { waitingBytes: 9 * MB }, {}, { waitingBytes: 6 * MB, isUnread: true }]);
        expect(chooseOverload(load)).toEqual({ id: 1, limit: CallerLimit.HeldBytes });
        expect(closeOverload(load)).toEqual([1]);
    });

    it("closes a caller for the statement that it runs", () => {
        expect(closeOverload(createLoad([{ runningBytes: 15 * MB }, { waitingBytes: 2 * MB }]))).toEqual([1]);
    });

    it("lets sessions store what messages need", () => {
        const load = createLoad([{ storedBytes: 4 * MB }, { storedBytes: 5 * MB }, { waitingBytes: 7 * MB }]);
        expect(chooseOverload(load)).toEqual({ id: 1, limit: CallerLimit.StoredBytes });
    });

    const uses = record({
        waitingBytes: oneof(nat(20_000), nat(4 * MB)),
        runningBytes: nat(3 * MB),
        storedBytes: oneof(nat(300), nat(2 * MB)),
        isStarted: boolean(),
        isUnfinished: boolean(),
        isUnread: boolean(),
    });
    const events = array(record({ id: nat(6), use: uses, kind: constantFrom("use", "use", "use", "remove", "add") }), { maxLength: 60 });

    it("holds more than the limit besides what runs, or closes callers below it", () => {
        assert(
            property(events, all => {
                const load = createLoad([{}, {}, {}]);
                for (const { id, use, kind } of all) {
                    if (kind === "add" && !load.callers.has(id)) {
                        addCaller(load, id, 0);
                    }
                    else if (kind === "remove") {
                        removeCaller(load, id);
                    }
                    else {
                        recordUse(load, id, use, 0);
                    }
                    const isOver = load.storedBytes > LIMITS.heldBytes / 2
                        || load.waitingBytes + load.runningBytes + load.storedBytes > LIMITS.heldBytes;
                    const closed = closeOverload(load);
                    expect(closed.length > 0 && !isOver).toBe(false);
                    expect(load.waitingBytes + load.storedBytes <= Math.max(0, LIMITS.heldBytes - load.runningBytes)).toBe(true);
                    const sum = (measure: (each: CallerUse) => number): number =>
                        [...load.callers.values()].reduce((total, each) => total + measure(each.use), 0);
                    expect([load.waitingBytes, load.runningBytes, load.storedBytes]).toEqual([
                        sum(each => each.waitingBytes),
                        sum(each => each.runningBytes),
                        sum(each => each.storedBytes),
                    ]);
                }
            }),
            RUNS,
        );
    });
});

describe("reading", () => {
    const UNFINISHED = { waitingBytes: 1 * MB, isUnfinished: true };

    it("reads from large holders near the limit, or not from small ones", () => {
        const load = createLoad([...Array.from({ length: 5 }, () => UNFINISHED), { waitingBytes: 10_000, isUnfinished: true }, {}]);
        expect([...load.callers.keys()].filter(id => mayRead(load, id))).toEqual([5, 6]);
    });

    it("pauses a large message without load", () => {
        expect(mayRead(createLoad([UNFINISHED]), 0)).toBe(true);
    });

    it("lets no paused caller finish its message, or all at once", () => {
        const load = createLoad(Array.from({ length: 6 }, () => UNFINISHED));
        [...load.callers.keys()].forEach(id => mayRead(load, id));
        expect(takeResumed(load)).toEqual([0]);
        expect([mayRead(load, 0), mayRead(load, 1)]).toEqual([true, false]);
        expect(takeResumed(load)).toEqual([]);
        recordUse(load, 0, IDLE, 0);
        expect(takeResumed(load)).toEqual([1]);
    });

    it("never resumes a caller that is paused", () => {
        assert(
            property(integer({ min: 1, max: 40 }), callerCount => {
                const load = createLoad(Array.from({ length: callerCount }, () => UNFINISHED));
                [...load.callers.keys()].forEach(id => mayRead(load, id));
                const finished = new Set([...load.callers].filter(([, { isPaused }]) => !isPaused).map(([id]) => id));
                for (let round = 0; round < callerCount; round++) {
                    for (const id of takeResumed(load)) {
                        finished.add(id);
                        recordUse(load, id, IDLE, 0);
                    }
                }
                expect(finished.size).toBe(callerCount);
            }),
            RUNS,
        );
    });

    it("does not ask for a collection after many large reads, or does after small ones", () => {
        const load = createLoad([]);
        expect(Array.from({ length: 100_000 }, () => recordRead(load, 1_000)).some(Boolean)).toBe(false);
        const isDue = Array.from({ length: 256 }, () => recordRead(load, 65_536));
        expect(isDue.filter(Boolean)).toHaveLength(3);
    });
});

describe("running", () => {
    it("starts large statements without a limit, or not even one", () => {
        expect(mayStart(createLoad([]), 3 * MB)).toBe(true);
        expect(mayStart(createLoad([{ runningBytes: 4 * MB }]), 3 * MB)).toBe(true);
        expect(mayStart(createLoad([{ runningBytes: 6 * MB }]), 3 * MB)).toBe(false);
    });

    it("makes a statement of ordinary size wait", () => {
        expect(mayStart(createLoad([{ runningBytes: 15 * MB }]), 3_000)).toBe(true);
    });
});

describe("times", () => {
    it("keeps a caller that does not finish its message", () => {
        const load = createLoad([{ isUnfinished: true }, {}]);
        recordUse(load, 0, { ...IDLE, isUnfinished: true }, 900);
        expect(findExpired(load, 1_000)).toEqual([]);
        expect(findExpired(load, 1_001)).toEqual([{ id: 0, limit: CallerLimit.UnfinishedMessage }]);
    });

    it("closes a caller that has finished its messages in time", () => {
        const load = createLoad([{ isUnfinished: true }]);
        recordUse(load, 0, IDLE, 900);
        recordUse(load, 0, { ...IDLE, isUnfinished: true }, 901);
        expect(findExpired(load, 1_900)).toEqual([]);
    });

    it("keeps a caller that does not read, or closes one that does", () => {
        const load = createLoad([{ isUnread: true }, { isUnread: true }]);
        recordUse(load, 1, IDLE, 1_900);
        recordUse(load, 1, { ...IDLE, isUnread: true }, 1_901);
        expect(findExpired(load, 2_001)).toEqual([{ id: 0, limit: CallerLimit.UnreadAnswers }]);
    });

    it("closes an idle session", () => {
        expect(findExpired(createLoad([{}]), 1e9)).toEqual([]);
    });
});
