/** Why a statement goes where it goes: the answer to the operator's command `explain`. */

import type { InstanceStatus } from "./InstanceStatus.ts";
import type { LogPosition } from "./LogPosition.ts";
import type { StatementClass } from "./StatementClass.ts";

/** An instance of the group, and what the proxy thinks of it. */
export interface InstanceExplanation {
    readonly failureDomain: string;
    /** VM that holds the instance. */
    readonly holder: string | undefined;
    readonly isPrimary: boolean;
    readonly isChosen: boolean;
    /** Undefined when the instance could serve the statement; else why not. */
    readonly refusal: string | undefined;
    /** What the holder last reported; undefined when it has not. */
    readonly status: InstanceStatus | undefined;
}

/** Where the proxy would send a statement now, and why. */
export interface StatementExplanation {
    readonly statementClass: StatementClass;
    readonly rank: string;
    readonly group: string;
    readonly instance: string;
    /** VM that holds the instance. */
    readonly vm: string;
    readonly reason: string;
    /** Position that the data must cover; term 0 when any will do. */
    readonly requiredPosition: LogPosition;
    /** Largest provable age of the data in milliseconds; 0 when any will do. */
    readonly maximumAgeMs: number;
    readonly instances: Readonly<Record<string, InstanceExplanation>>;
}
