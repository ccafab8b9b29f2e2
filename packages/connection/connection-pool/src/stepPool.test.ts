import { ResultCode } from "@pomeloturn/errors/ResultCode";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { computeHolderConnectionLimit } from "./computeHolderConnectionLimit.ts";
import { countConnections, createPool, type PoolState } from "./PoolState.ts";
import { type PoolAction, type PoolEvent, stepPool } from "./stepPool.ts";

const OPTIONS = { minimumIdleConnections: 3, maximumOpeningConnections: 2, reservedStatementConnections: 2 };
const random = (): number => 0.5;
const getKinds = (actions: readonly PoolAction[]): string[] => actions.map(({ kind }) => kind);
const createRequestEvent = (requestId: number, isTransaction = false): PoolEvent => ({ kind: "requested", requestId, isTransaction });

/** Reports every requested connection as opened. */
const completeOpening = (state: PoolState, nowMs: number): void => {
    for (let step = 0; step < 100 && state.opening.size > 0; step++) {
        stepPool(state, { kind: "opened", connectionId: [...state.opening][0]! }, nowMs, random);
    }
};

describe("stepPool", () => {
    it("limits concurrent opening and keeps the minimum of idle connections", () => {
        const state = createPool(OPTIONS, 8);
        expect(getKinds(stepPool(state, { kind: "tick" }, 0, random))).toEqual(["open", "open"]);
        completeOpening(state, 0);
        expect(state.idle).toHaveLength(OPTIONS.minimumIdleConnections);
        expect(getKinds(stepPool(state, createRequestEvent(1), 1, random))).toEqual(["assign", "open"]);
    });

    it("backs off when the instance refuses all connections, instead of retrying for each request", () => {
        const state = createPool(OPTIONS, 8);
        let attempts = 0;
        let nowMs = 0;
        for (let requestId = 1; requestId <= 2_000; requestId++, nowMs += 5) {
            const opens = [
                ...stepPool(state, createRequestEvent(requestId), nowMs, random),
                ...stepPool(state, { kind: "tick" }, nowMs, random),
            ];
            for (const action of opens.filter(({ kind }) => kind === "open")) {
                attempts++;
                stepPool(state, { kind: "openFailed", connectionId: (action as { connectionId: number; }).connectionId }, nowMs, random);
            }
            expect(state.waiting.length).toBeLessThanOrEqual(OPTIONS.maximumOpeningConnections);
        }
        // 10 s of backoff from 50 ms, doubled up to 5 s.
        expect(attempts).toBeLessThanOrEqual(12);
    });

    it("closes connections after the idle timeout, down to the minimum", () => {
        const state = createPool({ ...OPTIONS, minimumIdleConnections: 1 }, 8);
        [1, 2, 3].forEach(requestId => stepPool(state, createRequestEvent(requestId), 0, random));
        completeOpening(state, 0);
        [...state.inUse.keys()].forEach(connectionId => stepPool(state, { kind: "released", connectionId }, 0, random));
        expect(getKinds(stepPool(state, { kind: "tick" }, 61_000, random))).toEqual(["close", "close", "close"]);
        expect(state.idle).toHaveLength(1);
    });

    it("reserves connections for single statements", () => {
        const state = createPool(OPTIONS, 5);
        const actions = [1, 2, 3, 4].map(requestId => stepPool(state, createRequestEvent(requestId, true), 0, random));
        completeOpening(state, 0);
        expect(actions[3]).toContainEqual({ kind: "fail", requestId: 4, code: ResultCode.ConnectionsExhausted });
        const statement = stepPool(state, createRequestEvent(5), 1, random);
        expect(statement).toContainEqual(expect.objectContaining({ kind: "assign", requestId: 5 }));
    });

    it("closes released connections above a reduced limit", () => {
        const state = createPool(OPTIONS, 4);
        [1, 2, 3, 4].forEach(requestId => stepPool(state, createRequestEvent(requestId), 0, random));
        completeOpening(state, 0);
        stepPool(state, { kind: "limitChanged", connectionLimit: 2 }, 1, random);
        const closed = [...state.inUse.keys()].map(connectionId =>
            getKinds(stepPool(state, { kind: "released", connectionId }, 2, random))
        );
        expect(closed).toEqual([["close"], ["close"], [], []]);
    });

    it("assigns a connection to one request at a time, within the limit", () => {
        const step = fc.record({
            kind: fc.constantFrom(
                "requested",
                "requested",
                "requestCanceled",
                "opened",
                "opened",
                "openFailed",
                "released",
                "closed",
                "limitChanged",
                "tick",
            ),
            target: fc.nat(20),
            isTransaction: fc.boolean(),
            elapsedMs: fc.nat(30_000),
        });
        const run = fc.property(fc.array(step, { maxLength: 150 }), steps => {
            const state = createPool(OPTIONS, 6);
            const owners = new Map<number, number>();
            const answered = new Set<number>();
            let nowMs = 0;
            let nextRequestId = 1;
            let largestLimit = 6;
            for (const { kind, target, isTransaction, elapsedMs } of steps) {
                nowMs += elapsedMs;
                if (kind === "released" || kind === "closed") {
                    owners.delete(target);
                }
                const event = kind === "requested"
                    ? createRequestEvent(nextRequestId++, isTransaction)
                    : { kind, connectionId: target, requestId: target, connectionLimit: 1 + target % 8 } as PoolEvent;
                largestLimit = kind === "limitChanged" ? Math.max(largestLimit, 1 + target % 8) : largestLimit;
                for (const action of stepPool(state, event, nowMs, random)) {
                    if (action.kind === "assign") {
                        expect(owners.has(action.connectionId)).toBe(false);
                        owners.set(action.connectionId, action.requestId);
                    }
                    if (action.kind === "close") {
                        expect(owners.has(action.connectionId)).toBe(false);
                    }
                    if (action.kind === "assign" || action.kind === "fail") {
                        expect(answered.has(action.requestId)).toBe(false);
                        answered.add(action.requestId);
                    }
                }
                expect(new Map([...state.inUse].map(([id, { requestId }]) => [id, requestId]))).toEqual(owners);
                expect(countConnections(state)).toBeLessThanOrEqual(largestLimit);
                expect(state.opening.size).toBeLessThanOrEqual(OPTIONS.maximumOpeningConnections);
            }
        });
        fc.assert(run, { seed: 44, numRuns: 500 });
    });
});

describe("computeHolderConnectionLimit", () => {
    it.each([[16, 7], [35, 16], [2, 1]])("keeps the pools and probes of two holders within %i connections", (limit, expected) => {
        expect(computeHolderConnectionLimit(limit)).toBe(expected);
        expect(2 * (expected + 1)).toBeLessThanOrEqual(Math.max(limit, 4));
    });
});
