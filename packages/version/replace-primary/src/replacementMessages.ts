import type { InstanceState } from "@pomeloturn/types/InstanceCommand";
import type { Authority, AuthorityChange, PromotionOutcome } from "@pomeloturn/types/Protocols";

/** Constants for what a probe of an instance showed. */
export const ProbeOutcome = {
    Alive: "alive",
    /** The address refuses or resets connections. */
    Refused: "refused",
    /** No answer in time. */
    Silent: "silent",
} as const;
export type ProbeOutcome = typeof ProbeOutcome[keyof typeof ProbeOutcome];

/** What an instance said of itself. */
export interface SurveyedInstance {
    readonly id: string;
    readonly isDraining: boolean;
    /** Undefined when the instance gave no answer in time. */
    readonly state: InstanceState | undefined;
}

/** What this VM believes of the service at a tick. */
export interface LeaderView {
    /** Undefined while no instance is known to lead. */
    readonly leaderId: string | undefined;
    readonly isLeaderDraining: boolean;
    /** Instances of the service that are listed. */
    readonly instanceCount: number;
    /** Place of this VM in the order in which VMs act; 0 acts first. */
    readonly place: number;
}

/** What happens to a replacement. */
export type ReplacementEvent =
    | { readonly kind: "tick"; readonly view: LeaderView; }
    /** A request met an instance that did not answer as it should. */
    | { readonly kind: "suspected"; readonly instanceId: string; }
    | { readonly kind: "probed"; readonly instanceId: string; readonly outcome: ProbeOutcome; }
    /** The row in the store was changed, by whomever. */
    | { readonly kind: "authorityChanged"; readonly authority: Authority; }
    /** Undefined when the store gave no answer: the claim may have been applied. */
    | { readonly kind: "claimed"; readonly change: AuthorityChange | undefined; }
    | { readonly kind: "surveyed"; readonly instances: readonly SurveyedInstance[]; }
    | { readonly kind: "steppedDown"; }
    | { readonly kind: "ordered"; readonly outcome: PromotionOutcome; };

/** What the shell is to do. Each action but `Confirm` and `Note` is answered by an event. */
export type ReplacementAction =
    | { readonly kind: "probe"; readonly instanceId: string; }
    | { readonly kind: "claim"; readonly known: Authority; }
    | { readonly kind: "survey"; }
    | { readonly kind: "stepDown"; readonly instanceId: string; readonly term: number; }
    | { readonly kind: "order"; readonly instanceId: string; readonly fence: number; }
    /** The instance leads. */
    | { readonly kind: "confirm"; readonly instanceId: string; readonly term: number; }
    /** A line for the log. */
    | { readonly kind: "note"; readonly text: string; readonly details: Readonly<Record<string, unknown>>; };
