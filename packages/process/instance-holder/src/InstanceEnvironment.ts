import type { AdmissionRank } from "@pomeloturn/admit-request/AdmissionState";
import type { GroupConfiguration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";

/** Configuration and state that an instance holder depends on; read again for each decision. */
export interface InstanceEnvironment {
    /** Name of this VM. */
    readonly vm: string;
    readonly group: string;
    readonly instance: string;
    readonly groupConfiguration: GroupConfiguration;
    readonly instanceConfiguration: InstanceConfiguration;
    /** Last term whose marker row this holder has written to the primary. */
    markedTerm?: number;
    /** Ranks of the service that uses the group. */
    readonly ranks: readonly AdmissionRank[];
    /** Latest view of the group; undefined when the controller has sent none. */
    groupView(): GroupView | undefined;
    /** Monotonic time in milliseconds. */
    nowMs(): number;
    /** Random number from 0 to 1, from a seeded or the system generator. */
    random(): number;
    /** Called with the reachability of the instance after each conclusive probe. */
    onHealth(isReachable: boolean): void;
}
