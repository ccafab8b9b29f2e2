/** How the requests of this VM use the connections to an instance. */
export interface ConnectionUse {
    /** Exponentially weighted mean time for which a request keeps a connection, in milliseconds; 0 before the first use has ended. */
    meanMs: number;
    /** Time for which requests of each rank kept connections, decayed over `DECAY_MS`. */
    readonly busyMsByRank: number[];
    /** Monotonic time at which a connection was last released, in milliseconds. */
    releasedAtMs: number;
    /** Monotonic time at which a connection was last given to a request or released, in milliseconds. */
    progressedAtMs: number;
}

const USE_WEIGHT = 0.1;
const DECAY_MS = 1_000;
/** Highest share of the connections that more urgent requests are taken to use. */
const MAXIMUM_URGENT_SHARE = 0.95;

export const createConnectionUse = (): ConnectionUse => ({
    meanMs: 0,
    busyMsByRank: [],
    releasedAtMs: -Infinity,
    progressedAtMs: -Infinity,
});

/** Records that a request has been given a connection. */
export const recordUseStart = (use: ConnectionUse, nowMs: number): void => {
    use.progressedAtMs = nowMs;
};

/** Records that a request or transaction of a rank has released a connection after `usedMs` milliseconds. */
export const recordUse = (use: ConnectionUse, rank: number, usedMs: number, nowMs: number): void => {
    use.meanMs = use.meanMs === 0 ? usedMs : use.meanMs + (usedMs - use.meanMs) * USE_WEIGHT;
    const decay = Math.exp(-(nowMs - use.releasedAtMs) / DECAY_MS);
    for (let other = 0; other <= Math.max(rank, use.busyMsByRank.length - 1); other++) {
        use.busyMsByRank[other] = (use.busyMsByRank[other] ?? 0) * decay + (other === rank ? usedMs : 0);
    }
    use.releasedAtMs = nowMs;
    use.progressedAtMs = nowMs;
};

/** Share of the connections that requests more urgent than `rank` have used lately, from 0 to `MAXIMUM_URGENT_SHARE`. */
export const urgentShare = (use: ConnectionUse, rank: number, connectionCount: number): number => {
    const busyMs = use.busyMsByRank.slice(0, rank).reduce((sumMs, rankMs) => sumMs + rankMs, 0);
    return Math.min(MAXIMUM_URGENT_SHARE, busyMs / (DECAY_MS * connectionCount));
};
