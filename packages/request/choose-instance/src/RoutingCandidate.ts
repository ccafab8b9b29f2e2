/** An instance that may serve a read, with what its choice would use up. */
export interface RoutingCandidate {
    readonly instance: string;
    /** Statements running or waiting there, as far as this VM knows. */
    readonly outstanding: number;
    readonly slots: number;
    readonly connections: number;
    readonly serviceTimeMs: number;
    /** Network time there and back. */
    readonly roundTripMs: number;
    /** Share of the paid link's approved rate that is in use, 0 to 1; 0 when no paid link is crossed. */
    readonly linkUse: number;
    /** Share of the approved rate that this answer would add; 0 when no paid link is crossed. */
    readonly linkShare: number;
}
