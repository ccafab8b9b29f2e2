/** A line of a trace: requests from a session, or a fault. */
export type TraceLine = RequestLine | FaultLine;

/** Values of `TraceLine.kind`. */
export const TraceLineKind = {
    Request: "request",
    Lag: "lag",
    PrimaryDown: "primaryDown",
} as const;

/** `count` identical requests, spread evenly over `overMs` from `atMs`. */
export interface RequestLine {
    readonly kind: typeof TraceLineKind.Request;
    readonly atMs: number;
    readonly vm: string;
    readonly group: string;
    /** Number of the session; its reads must see its earlier writes. */
    readonly session: number;
    readonly rank: number;
    readonly isWrite: boolean;
    /** Largest accepted age of a read's data; undefined when the read only has to see the session's own writes. */
    readonly maximumAgeMs?: number;
    readonly serviceTimeMs: number;
    readonly answerBytes: number;
    readonly count?: number;
    readonly overMs?: number;
}

/** A fault from `atMs` that lasts `forMs`. */
export interface FaultLine {
    readonly kind: typeof TraceLineKind.Lag | typeof TraceLineKind.PrimaryDown;
    readonly atMs: number;
    readonly forMs: number;
    readonly group: string;
    /** The lagging replica; unused by `primaryDown`. */
    readonly instance?: string;
    /** Replication lag while the fault lasts. */
    readonly lagMs?: number;
}
