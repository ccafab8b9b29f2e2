import type { TermStart } from "@pomeloturn/types/ControlView";

/** One process lifetime of a VM's controller. The incarnation differs after each restart. */
export interface VmIncarnation {
    readonly vm: string;
    readonly incarnation: number;
}

/** Row of a database group in the table service. */
export interface GroupRow {
    readonly term: number;
    /** Name of the instance that is the primary. */
    readonly primary: string;
    readonly holder: VmIncarnation;
    readonly witnesses: readonly VmIncarnation[];
    /** Starts of the most recent terms, oldest first; positions never decrease. */
    readonly history: readonly TermStart[];
    /** Operation that wrote this version, so that a writer whose answer was lost learns the outcome by reading the row. */
    readonly operationId: string;
}

/** A group's row with its version in the table service. */
export interface StoredRow {
    readonly version: number;
    readonly row: GroupRow;
}

/** Returns the key of a group's row in the table service. */
export const groupRowKey = (group: string): string => `group/${group}`;
