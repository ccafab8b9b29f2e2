/** Pacing of the connection openings to an instance. Times are monotonic, in milliseconds. */
export interface OpeningPacing {
    /** Records that the instance refused a connection. @returns the time before another one is opened, in milliseconds */
    readonly recordFailedOpening: (isExhausted: boolean, startedAtMs: number) => number;
    /** Records that the instance or the network closed an idle connection. */
    readonly recordLoss: (lastUsedAtMs: number) => void;
    /** Whether a connection may be opened now that only finds out whether an unreachable instance answers again. */
    readonly takeProbe: () => boolean;
}
