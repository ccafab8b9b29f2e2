/** What this VM remembers of the holders that it asked. */

/** Time for which a holder that did not answer is asked last. */
const SILENCE_MS = 1_000;
/** Longest time for which a seat that refused is not asked again, as its limit may be raised. */
const MAXIMUM_REFUSAL_MS = 500;
/** Unanswered requests in a row after which a holder counts as silent: a single datagram may have been lost. */
const UNANSWERED_LIMIT = 2;

/** A seat that may be asked. */
export interface SeatCandidate {
    readonly seat: number;
    readonly vm: string;
    readonly isNear: boolean;
}

/** Memory of silent holders and of seats that refused. */
export interface SeatMemory {
    readonly unansweredCounts: Map<string, number>;
    /** Monotonic time until which a VM counts as silent, in milliseconds, by VM. */
    readonly silentUntilMs: Map<string, number>;
    /** Monotonic time until which a seat is not asked, in milliseconds, by seat and team. */
    readonly refusedUntilMs: Map<string, number>;
}

export const createSeatMemory = (): SeatMemory => ({ unansweredCounts: new Map(), silentUntilMs: new Map(), refusedUntilMs: new Map() });

const createKey = (team: string, seat: number): string => `${seat} ${team}`;

export const recordAnswer = (memory: SeatMemory, vm: string): void => {
    memory.unansweredCounts.delete(vm);
    memory.silentUntilMs.delete(vm);
};

export const recordNoAnswer = (memory: SeatMemory, vm: string, nowMs: number): void => {
    const count = (memory.unansweredCounts.get(vm) ?? 0) + 1;
    memory.unansweredCounts.set(vm, count);
    if (count >= UNANSWERED_LIMIT) {
        memory.silentUntilMs.set(vm, nowMs + SILENCE_MS);
    }
};

export const recordRefusal = (memory: SeatMemory, team: string, seat: number, retryAfterMs: number, nowMs: number): void => {
    memory.refusedUntilMs.set(createKey(team, seat), nowMs + Math.min(MAXIMUM_REFUSAL_MS, retryAfterMs));
};

/** Time until the seat may be asked again, in milliseconds; 0 when it may be asked now. */
export const refusalLeftMs = (memory: SeatMemory, team: string, seat: number, nowMs: number): number =>
    Math.max(0, (memory.refusedUntilMs.get(createKey(team, seat)) ?? 0) - nowMs);

export const isSilent = (memory: SeatMemory, vm: string, nowMs: number): boolean => nowMs < (memory.silentUntilMs.get(vm) ?? 0);

/** Removes what counts no more. Must be called regularly. */
export const expireSeatMemory = ({ silentUntilMs, refusedUntilMs }: SeatMemory, nowMs: number): void => {
    for (const times of [silentUntilMs, refusedUntilMs]) {
        [...times].filter(([, untilMs]) => nowMs >= untilMs).forEach(([key]) => times.delete(key));
    }
};

/**
 * Orders the seats to ask: near ones first, silent ones last, otherwise from a random one on, so that the load is spread.
 *
 * @param random random number from 0 to 1
 */
export const orderCandidates = (
    candidates: readonly SeatCandidate[],
    memory: SeatMemory,
    random: number,
    nowMs: number,
): readonly SeatCandidate[] => {
    const start = Math.floor(random * candidates.length);
    const cost = ({ vm, isNear }: SeatCandidate): number => (isSilent(memory, vm, nowMs) ? 2 : 0) + (isNear ? 0 : 1);
    return [...candidates.slice(start), ...candidates.slice(0, start)].sort((one, other) => cost(one) - cost(other));
};
