import type { InstanceState } from "@pomeloturn/types/InstanceCommand";
import type { Authority, AuthorityChange, PromotionOutcome } from "@pomeloturn/types/Protocols";

/** Results of a probe of an instance. */
export const ProbeOutcome = {
    Alive: "alive",
    /** The address refuses or resets connections. */
    Refused: "refused",
    /** There was no answer before the timeout. */
    Silent: "silent",
} as const;
export type ProbeOutcome = typeof ProbeOutcome[keyof typeof ProbeOutcome];

/** State that an instance reported in a survey. */
export interface SurveyedInstance {
    readonly id: string;
    readonly isDraining: boolean;
    /** Undefined when the instance did not answer before the timeout, or is no longer listed. */
    readonly state: InstanceState | undefined;
    /** Whether it has stopped receiving for the term that the survey asked for, or does not know such a command. */
    readonly isPaused: boolean;
}

/** State of the service as known to this VM at a tick. */
export interface LeaderView {
    /** Undefined while no instance is known to lead. */
    readonly leaderId: string | undefined;
    readonly isLeaderDraining: boolean;
    /** Number of listed instances of the service. */
    readonly instanceCount: number;
    /** Number of replicas that have to receive a commit before it is acknowledged. */
    readonly syncReplicas: number;
    /** Whether no instance that is alive can be missing from the listing. Matters where replicas have to receive commits. */
    readonly isListingComplete: boolean;
    /** Index of this VM in the order in which VMs act; the VM with index 0 acts first. */
    readonly vmIndex: number;
}

/** An event of a replacement. */
export type ReplacementEvent =
    | { readonly kind: "tick"; readonly view: LeaderView; }
    /** A request to the instance failed in a way that suggests it is down. */
    | { readonly kind: "suspected"; readonly instanceId: string; }
    | { readonly kind: "probed"; readonly instanceId: string; readonly outcome: ProbeOutcome; }
    /** The authority in the store was changed, by this or another VM, or is not held in a new era of the store. */
    | { readonly kind: "authorityChanged"; readonly authority: Authority; }
    /** `change` is undefined when the store did not answer, so that the claim may have been applied. */
    | {
        readonly kind: "claimed";
        readonly change: AuthorityChange | undefined;
        /** Whether the listing was read after the claim and shows no instance that has to be known and that this VM has not heard of. */
        readonly isListingCurrent: boolean;
    }
    | { readonly kind: "surveyed"; readonly instances: readonly SurveyedInstance[]; }
    | { readonly kind: "steppedDown"; }
    /** The VM was suspended, for a time that its clock does not count. */
    | { readonly kind: "suspensionDetected"; }
    | { readonly kind: "ordered"; readonly outcome: PromotionOutcome; };

/** Action that the caller of `stepReplacement` has to carry out. Each kind except `confirm`, `resume` and `log` is answered by an event. */
export type ReplacementAction =
    | { readonly kind: "probe"; readonly instanceId: string; }
    | { readonly kind: "claim"; readonly known: Authority; readonly fence: number; }
    /** With a term, the replicas are told to stop receiving for it before they state their positions. */
    | { readonly kind: "survey"; readonly pauseTerm: number | undefined; }
    /** The replicas are told to receive again. */
    | { readonly kind: "resume"; readonly instanceIds: readonly string[]; }
    | { readonly kind: "stepDown"; readonly instanceId: string; readonly term: number; }
    | { readonly kind: "order"; readonly instanceId: string; readonly fence: number; }
    /** The instance was found to lead the term. */
    | { readonly kind: "confirm"; readonly instanceId: string; readonly term: number; }
    /** Writes a log line. */
    | { readonly kind: "log"; readonly text: string; readonly details: Readonly<Record<string, unknown>>; };
