import type { TermStart } from "@pomeloturn/types/ControlView";

/** A start of a VM's controller. */
export interface VmIncarnation {
    readonly vm: string;
    readonly incarnation: number;
}

/** What the table service holds of a database group. */
export interface GroupRow {
    readonly term: number;
    /** Name of the primary's instance. */
    readonly primary: string;
    readonly holder: VmIncarnation;
    readonly witnesses: readonly VmIncarnation[];
    /** Starts of the remembered terms, oldest first; positions never decrease. */
    readonly history: readonly TermStart[];
    /** Operation that wrote this version, so that a lost answer is settled by reading the row. */
    readonly operationId: string;
}

/** A group's row with its version in the table. */
export interface StoredRow {
    readonly version: number;
    readonly row: GroupRow;
}

/** Key of a group's row in the table service. */
export const groupRowKey = (group: string): string => `group/${group}`;
