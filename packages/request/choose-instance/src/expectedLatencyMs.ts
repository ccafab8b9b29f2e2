/** An instance that may serve a read, with what determines its expected latency. */
export interface RoutingCandidate {
    readonly instance: string;
    /** Number of statements that run or wait at the instance, as far as this VM knows. */
    readonly outstanding: number;
    readonly slots: number;
    readonly serviceTimeMs: number;
    /** Network round-trip time. */
    readonly roundTripMs: number;
}

/** Returns the expected time until the answer in milliseconds: network, queue and the statement itself. */
export const expectedLatencyMs = ({ outstanding, slots, serviceTimeMs, roundTripMs }: RoutingCandidate): number => {
    const queuedAhead = Math.max(0, outstanding + 1 - slots);
    return roundTripMs + serviceTimeMs * (1 + queuedAhead / slots);
};
