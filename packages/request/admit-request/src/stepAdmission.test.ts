import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type AdmissionRequest, type AdmissionState, createAdmissionState } from "./AdmissionState.ts";
import { type AdmissionAction, type AdmissionEvent, stepAdmission } from "./stepAdmission.ts";

const RANKS = [{ floorShare: 0.2, deadlineMs: 5_000 }, { floorShare: 0.2, deadlineMs: 5_000 }];

const create = (slots = 2): AdmissionState => createAdmissionState({ slots, ranks: RANKS, queueLimit: 2, queueLimitBytes: 1_000 }, 0);
const arrived = (id: number, rest: Partial<AdmissionRequest> = {}): AdmissionEvent => ({
    kind: "arrived",
    request: { id, rank: 0, deadlineAtMs: 5_000, sizeBytes: 10, isPinned: false, ...rest },
});
const start = (id: number): AdmissionAction => ({ kind: "start", id });
const refuse = (id: number, code: ResultCode): AdmissionAction => ({ kind: "refuse", id, code });

interface AdmissionCase {
    readonly name: string;
    readonly events: readonly (readonly [nowMs: number, event: AdmissionEvent])[];
    /** Actions of the last event. */
    readonly expected: readonly AdmissionAction[];
}

const full: AdmissionCase["events"] = [[0, arrived(1)], [0, arrived(2)], [0, arrived(3)]];

const cases: AdmissionCase[] = [
    { name: "a request starts at once when a slot is free", events: [[0, arrived(1)]], expected: [start(1)] },
    { name: "a request waits when no slot is free", events: full, expected: [] },
    {
        name: "a request of the most urgent rank starts first",
        events: [...full, [1, arrived(4, { rank: 1 })], [2, { kind: "finished", id: 1 }]],
        expected: [start(3)],
    },
    {
        name: "a request is refused when the queue is full",
        events: [...full, [0, arrived(4)], [0, arrived(5)]],
        expected: [refuse(5, ResultCode.QueueFull)],
    },
    {
        name: "a request is refused when the queued bytes would exceed the limit",
        events: [...full, [0, arrived(4, { sizeBytes: 1_000 })]],
        expected: [refuse(4, ResultCode.QueueFull)],
    },
    {
        name: "a request that cannot meet its deadline is refused on arrival",
        events: [...full, [0, arrived(4, { deadlineAtMs: 8 })]],
        expected: [refuse(4, ResultCode.DeadlineBeforeRun)],
    },
    {
        name: "a request whose deadline passes in the queue is refused",
        events: [...full, [5_000, { kind: "tick" }]],
        expected: [refuse(3, ResultCode.DeadlineBeforeRun)],
    },
    {
        name: "a waiting request is canceled",
        events: [...full, [1, { kind: "canceled", id: 3 }]],
        expected: [refuse(3, ResultCode.CanceledBeforeRun)],
    },
    { name: "canceling a running request does not refuse it", events: [...full, [1, { kind: "canceled", id: 1 }]], expected: [] },
    {
        name: "a request of an open transaction starts without a free slot",
        events: [...full, [1, arrived(4, { isPinned: true, rank: 1 })]],
        expected: [start(4)],
    },
    {
        name: "open transactions leave one slot to new requests",
        events: [
            [0, arrived(1, { isPinned: true })],
            [0, arrived(2, { isPinned: true })],
            [0, arrived(3, { isPinned: true })],
            [0, arrived(4)],
        ],
        expected: [start(4)],
    },
    {
        name: "new requests beside open transactions do not exceed the slots",
        events: [[0, arrived(1, { isPinned: true })], [0, arrived(2)], [0, arrived(3)]],
        expected: [],
    },
    {
        name: "a request of an unknown rank gets the least urgent rank",
        events: [...full, [0, arrived(4, { rank: 9 })], [1, { kind: "canceled", id: 3 }], [2, { kind: "finished", id: 1 }]],
        expected: [start(4)],
    },
];

describe("stepAdmission", () => {
    it.each(cases)("$name", ({ events, expected }) => {
        const state = create();
        const actions = events.map(([nowMs, event]) => stepAdmission(state, event, nowMs));
        expect(actions.at(-1)).toEqual(expected);
    });

    it("starts a request after statements that took longer than any deadline", () => {
        const state = create(1);
        let nowMs = 0;
        for (let id = 1; id <= 100; id++) {
            stepAdmission(state, arrived(id, { deadlineAtMs: nowMs + 5_000 }), nowMs);
            nowMs += 20_000;
            stepAdmission(state, { kind: "finished", id }, nowMs);
        }
        const actions = stepAdmission(state, arrived(101, { deadlineAtMs: nowMs + 5_000 }), nowMs);
        expect(actions).toEqual([start(101)]);
    });

    it("gives each request exactly one action and never runs more new requests than slots", () => {
        const step = fc.record({
            kind: fc.constantFrom("arrived", "arrived", "finished", "canceled", "tick"),
            rank: fc.nat(2),
            target: fc.nat(30),
            deadlineMs: fc.integer({ min: -5, max: 200 }),
            isPinned: fc.boolean(),
            elapsedMs: fc.nat(40),
        });
        const run = fc.property(fc.array(step, { maxLength: 120 }), steps => {
            const state = create();
            const seen = new Map<number, string>();
            let nowMs = 0;
            let nextId = 1;
            for (const { kind, rank, target, deadlineMs, isPinned, elapsedMs } of steps) {
                nowMs += elapsedMs;
                const event = kind === "arrived"
                    ? arrived(nextId++, { rank, deadlineAtMs: nowMs + deadlineMs, isPinned })
                    : { kind, id: target } as AdmissionEvent;
                for (const action of stepAdmission(state, event, nowMs)) {
                    expect(seen.has(action.id)).toBe(false);
                    seen.set(action.id, action.kind);
                }
                expect(state.running.size - state.pinnedCount).toBeLessThanOrEqual(2);
                expect(state.ranks.every(({ queue, runningCount }) => queue.length <= 2 && runningCount >= 0)).toBe(true);
            }
            const waiting = state.ranks.flatMap(({ queue }) => queue.map(({ id }) => id));
            expect(new Set([...seen.keys(), ...waiting]).size).toBe(nextId - 1);
            expect(seen.size + waiting.length).toBe(nextId - 1);
        });
        fc.assert(run, { seed: 43, numRuns: 500 });
    });
});
