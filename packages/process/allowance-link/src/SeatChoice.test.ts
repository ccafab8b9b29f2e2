import { describe, expect, it } from "vitest";
import {
    createSeatMemory,
    expireSeatMemory,
    isSilent,
    orderCandidates,
    recordAnswer,
    recordNoAnswer,
    recordRefusal,
    refusalLeftMs,
} from "./SeatChoice.ts";

const CANDIDATES = [0, 1, 2, 3].map(seat => ({ seat, vm: `vm-${seat}`, isNear: seat % 2 === 0 }));
const listSeats = (...options: Parameters<typeof orderCandidates>): number[] => orderCandidates(...options).map(({ seat }) => seat);

describe("orderCandidates", () => {
    it("would fail if seats of another region came before near ones, or one seat always came first", () => {
        const memory = createSeatMemory();
        expect(listSeats(CANDIDATES, memory, 0, 0)).toEqual([0, 2, 1, 3]);
        expect(listSeats(CANDIDATES, memory, 0.5, 0)).toEqual([2, 0, 3, 1]);
    });

    it("would fail if a silent holder were asked before those that answer", () => {
        const memory = createSeatMemory();
        recordNoAnswer(memory, "vm-0", 0);
        recordNoAnswer(memory, "vm-0", 60);
        expect(listSeats(CANDIDATES, memory, 0, 100)).toEqual([2, 1, 3, 0]);
        expect(listSeats(CANDIDATES, memory, 0, 1_100)).toEqual([0, 2, 1, 3]);
    });
});

describe("seat memory", () => {
    it("would fail if one lost datagram made a holder silent", () => {
        const memory = createSeatMemory();
        recordNoAnswer(memory, "vm-0", 0);
        expect(isSilent(memory, "vm-0", 1)).toBe(false);
        recordAnswer(memory, "vm-0");
        recordNoAnswer(memory, "vm-0", 10);
        expect(isSilent(memory, "vm-0", 11)).toBe(false);
    });

    it("would fail if a holder that answers again stayed silent", () => {
        const memory = createSeatMemory();
        recordNoAnswer(memory, "vm-0", 0);
        recordNoAnswer(memory, "vm-0", 0);
        recordAnswer(memory, "vm-0");
        expect(isSilent(memory, "vm-0", 1)).toBe(false);
    });

    it("would fail if a seat were asked again before the time it gave, or a raised limit were noticed late", () => {
        const memory = createSeatMemory();
        recordRefusal(memory, "team", 1, 40, 0);
        recordRefusal(memory, "team", 2, 60_000, 0);
        expect([refusalLeftMs(memory, "team", 1, 10), refusalLeftMs(memory, "team", 1, 40)]).toEqual([30, 0]);
        expect([refusalLeftMs(memory, "team", 2, 10), refusalLeftMs(memory, "other", 1, 10)]).toEqual([490, 0]);
    });

    it("would fail if what counts no more were kept", () => {
        const memory = createSeatMemory();
        recordRefusal(memory, "team", 1, 40, 0);
        recordNoAnswer(memory, "vm-0", 0);
        recordNoAnswer(memory, "vm-0", 0);
        expireSeatMemory(memory, 1_000);
        expect(memory.refusedUntilMs.size + memory.silentUntilMs.size).toBe(0);
    });
});
