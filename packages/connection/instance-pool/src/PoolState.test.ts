import { describe, expect, it } from "vitest";
import {
    createPoolState,
    isAssignable,
    isFull,
    isIdleTooLong,
    isOpeningAllowed,
    type PoolState,
    recordExhausted,
    recordOpenFailure,
    restoreLimits,
    updateLimits,
} from "./PoolState.ts";

const createState = (connectionLimit: number, vmCount: number, counts: Partial<PoolState> = {}): PoolState => {
    const state = createPoolState();
    updateLimits(state, connectionLimit, vmCount);
    return Object.assign(state, counts);
};

describe("PoolState", () => {
    it.each([
        ["16 connections for 8 VMs", 16, 8, 4, 1],
        ["34 connections for 6 VMs", 34, 6, 10, 1],
        ["46 connections for 69 VMs", 46, 69, 2, 0],
        ["one connection for one VM", 1, 1, 2, 1],
    ])("limits %s", (_what, connectionLimit, vmCount, limit, coreConnectionCount) => {
        expect(createState(connectionLimit, vmCount)).toMatchObject({ limit, coreConnectionCount });
    });

    it("opens connections within the limits", () => {
        expect([0, 1, 2].map(openingCount => isOpeningAllowed(createState(16, 8, { openingCount }), 0))).toEqual([true, true, false]);
        expect(isFull(createState(16, 8, { busyCount: 3 }))).toBe(false);
        expect(isFull(createState(16, 8, { busyCount: 3, openingCount: 1 }))).toBe(true);
        expect(isFull(createState(16, 8, { busyCount: 3, idleCount: 1 }))).toBe(true);
    });

    it("backs off exponentially after failures", () => {
        const state = createState(16, 8);
        recordOpenFailure(state, 0);
        expect([isOpeningAllowed(state, 99), isOpeningAllowed(state, 100)]).toEqual([false, true]);
        expect(isOpeningAllowed({ ...state, openingCount: 1 }, 100)).toBe(false);
        recordOpenFailure(state, 100);
        expect([isOpeningAllowed(state, 299), isOpeningAllowed(state, 300)]).toEqual([false, true]);
    });

    it("lowers the limit when the instance has no connections left, and raises it step by step", () => {
        const state = createState(16, 8, { busyCount: 2 });
        recordExhausted(state, 0);
        expect(state.limit).toBe(2);
        restoreLimits(state, 400);
        expect(state.limit).toBe(2);
        restoreLimits(state, 500);
        expect(state.limit).toBe(3);
        expect(isIdleTooLong({ ...state, idleCount: 2 }, 250)).toBe(true);
    });

    it("reserves the last connection for the most urgent rank", () => {
        const state = createState(16, 8, { busyCount: 3 });
        expect([isAssignable(state, 0), isAssignable(state, 1)]).toEqual([true, false]);
    });
});
