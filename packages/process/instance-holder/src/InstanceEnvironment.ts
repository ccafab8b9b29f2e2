import type { AdmissionRank } from "@pomeloturn/admit-request/AdmissionState";
import type { GroupConfiguration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";

/** What an instance holder needs to know from outside, read anew for each decision. */
export interface InstanceEnvironment {
    /** Name of this VM. */
    readonly vm: string;
    readonly group: string;
    readonly instance: string;
    readonly groupConfiguration: GroupConfiguration;
    readonly instanceConfiguration: InstanceConfiguration;
    /** Term of which this holder has written the marker into the primary. */
    markedTerm?: number;
    /** Ranks of the service that uses the group. */
    readonly ranks: readonly AdmissionRank[];
    groupView(): GroupView | undefined;
    nowMs(): number;
    /** Seeded or system random number, 0 to 1. */
    random(): number;
    /** Called after each probe of the instance. */
    onHealth(isReachable: boolean): void;
}
