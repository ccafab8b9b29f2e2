/** A point in a group's history. */
export interface LogPosition {
    readonly term: number;
    /** Log position in bytes; below 2^53, which is 9 PB of log. */
    readonly position: number;
}
