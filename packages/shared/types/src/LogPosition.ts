/** A point in the write-ahead log of a database group. */
export interface LogPosition {
    readonly term: number;
    /** Log position in bytes; below 2^53 (9 PB of log), so that a number holds it exactly. */
    readonly position: number;
}
