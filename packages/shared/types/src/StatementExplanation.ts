/** Answer to the operator's command `explain`: where a statement would be routed, and why. */

import type { InstanceStatus } from "./InstanceStatus.ts";
import type { LogPosition } from "./LogPosition.ts";
import type { StatementClass } from "./StatementClass.ts";

/** An instance of the group, and whether the proxy would send the statement to it. */
export interface InstanceExplanation {
    readonly failureDomain: string;
    /** VM that holds the instance. */
    readonly holder: string | undefined;
    readonly isPrimary: boolean;
    readonly isChosen: boolean;
    /** Reason why the instance cannot serve the statement; undefined when it can. */
    readonly refusal: string | undefined;
    /** Last report of the holder; undefined when there is none. */
    readonly status: InstanceStatus | undefined;
}

/** Routing decision for a statement under the present system state. */
export interface StatementExplanation {
    readonly statementClass: StatementClass;
    readonly rank: string;
    readonly group: string;
    readonly instance: string;
    /** VM that holds the instance. */
    readonly vm: string;
    readonly reason: string;
    /** Position that the data must cover; term 0 accepts any position. */
    readonly requiredPosition: LogPosition;
    /** Largest accepted age of the data in milliseconds, which must be proved; 0 accepts any age. */
    readonly maximumAgeMs: number;
    readonly instances: Readonly<Record<string, InstanceExplanation>>;
}
