/** An instance that may serve a read, with what its choice would use up. */
export interface RoutingCandidate {
    readonly instance: string;
    /** Statements running or waiting there, as far as this VM knows. */
    readonly outstanding: number;
    readonly slots: number;
    readonly serviceTimeMs: number;
    /** Network time there and back. */
    readonly roundTripMs: number;
}

/** Time until the answer: the network, the work ahead in the queue, the statement itself; in milliseconds. */
export const expectedLatencyMs = ({ outstanding, slots, serviceTimeMs, roundTripMs }: RoutingCandidate): number => {
    const waitingAhead = Math.max(0, outstanding + 1 - slots);
    return roundTripMs + serviceTimeMs * (1 + waitingAhead / slots);
};
