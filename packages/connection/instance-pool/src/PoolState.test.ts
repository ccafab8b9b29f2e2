import { describe, expect, it } from "vitest";
import {
    countToOpen,
    createPoolState,
    isAssignable,
    isIdleTooLong,
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

    it("opens connections for waiting requests, within the limits", () => {
        expect(countToOpen(createState(16, 8, { waitingCount: 5 }), 0)).toBe(2);
        expect(countToOpen(createState(16, 8, { waitingCount: 5, busyCount: 3 }), 0)).toBe(1);
        expect(countToOpen(createState(16, 8, { waitingCount: 1, openingCount: 1 }), 0)).toBe(0);
    });

    it("backs off exponentially after failures", () => {
        const state = createState(16, 8, { waitingCount: 1 });
        recordOpenFailure(state, 0);
        expect([countToOpen(state, 99), countToOpen(state, 100)]).toEqual([0, 1]);
        recordOpenFailure(state, 100);
        expect([countToOpen(state, 299), countToOpen(state, 300)]).toEqual([0, 1]);
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
