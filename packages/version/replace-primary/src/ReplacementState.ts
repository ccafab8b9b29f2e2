import type { Authority } from "@pomeloturn/types/Protocols";
import { createUnheldAuthority } from "./createUnheldAuthority.ts";
import { FIRST_CLAIM_DELAY_MS } from "./replacementTiming.ts";

/** Constants for `ReplacementState.phase`. */
export const ReplacementPhase = {
    /** The primary works, or probes are finding out whether it does. */
    Watching: "watching",
    /** The authority to promote is being claimed in the store. */
    Claiming: "claiming",
    /** The instances are asked for their positions. */
    Surveying: "surveying",
    /** The leaving primary has been told to stop accepting writes; its successor has to catch up. */
    TransferringLeadership: "transferringLeadership",
    /** The promotion has been ordered and not yet answered. */
    Ordering: "ordering",
    /** The order was accepted; the instance does not lead yet. */
    Confirming: "confirming",
} as const;
export type ReplacementPhase = typeof ReplacementPhase[keyof typeof ReplacementPhase];

/** Reasons for replacing a primary. */
export const ReplacementReason = {
    /** It does not answer. */
    Down: "down",
    /** No instance leads. */
    Leaderless: "leaderless",
    /** It is about to be shut down. */
    Leaving: "leaving",
    /** It works, but a VM that has given up has left replicas that do not receive. */
    Unreplicated: "unreplicated",
} as const;
export type ReplacementReason = typeof ReplacementReason[keyof typeof ReplacementReason];

/** Suspicion that the primary is down, and the probes made to confirm it. */
export interface Suspicion {
    readonly instanceId: string;
    readonly sinceMs: number;
    refusedCount: number;
    silentCount: number;
    isProbing: boolean;
    nextProbeAtMs: number;
}

/** The last promotion order of this VM. */
export interface PromotionOrder {
    readonly instanceId: string;
    readonly fence: number;
    readonly orderedAtMs: number;
    /** When the order is repeated; undefined while its answer is outstanding. */
    repeatAtMs: number | undefined;
}

/** State of the replacement of one service's primary on one VM. Times are monotonic milliseconds. */
export interface ReplacementState {
    readonly vm: string;
    phase: ReplacementPhase;
    phaseSinceMs: number;
    reason: ReplacementReason | undefined;
    suspicion: Suspicion | undefined;
    /** When the state without a known leader began. */
    leaderlessSinceMs: number | undefined;
    authority: Authority;
    /** When this VM last learned that another VM has claimed the authority. */
    otherVmClaimedAtMs: number;
    /** Time until which this VM does not start a replacement. */
    pausedUntilMs: number;
    /** Time from which this VM may claim an authority that no VM holds. */
    readonly firstClaimAtMs: number;
    isSurveying: boolean;
    nextSurveyAtMs: number;
    order: PromotionOrder | undefined;
    /** Whether the leaving primary has answered the order to stop accepting writes. */
    isSteppedDown: boolean;
    /** Number of replicas that have to receive a commit before it is acknowledged. */
    syncReplicas: number;
    /** Whether no instance that is alive can be missing from the listing. */
    isListingComplete: boolean;
    /** Whether the primary would be replaced now if the listing were complete. */
    isWaitingForListing: boolean;
    /** The last known primary, which may hold commits that were acknowledged. */
    lastLeaderId: string | undefined;
    /** Term for which this VM has told the replicas to stop receiving; undefined if it has not. */
    pauseTerm: number | undefined;
    /** When it is checked whether a VM that has given up has left replicas that do not receive; undefined if it is not. */
    resumeCheckAtMs: number | undefined;
    /** Whether replicas were found that do not receive from the primary. */
    hasPausedReplicas: boolean;
    /** Whether the platform refuses orders whose fence is lower than one that it has seen. */
    readonly areFencesChecked: boolean;
    /** When this VM sent its last claim. */
    claimSentAtMs: number;
    /** The last order of this VM, which may still be carried out. */
    lastOrder: { readonly fence: number; readonly instanceId: string; } | undefined;
}

/**
 * @param nowMs monotonic time at the start of the process
 * @param areFencesChecked whether the platform refuses orders whose fence is lower than one that it has seen
 */
export const createReplacement = (vm: string, nowMs: number, areFencesChecked: boolean): ReplacementState => ({
    vm,
    phase: ReplacementPhase.Watching,
    phaseSinceMs: nowMs,
    reason: undefined,
    suspicion: undefined,
    leaderlessSinceMs: undefined,
    authority: createUnheldAuthority(0),
    otherVmClaimedAtMs: -Infinity,
    pausedUntilMs: 0,
    firstClaimAtMs: nowMs + FIRST_CLAIM_DELAY_MS,
    isSurveying: false,
    nextSurveyAtMs: 0,
    order: undefined,
    isSteppedDown: false,
    syncReplicas: 0,
    isListingComplete: false,
    isWaitingForListing: false,
    lastLeaderId: undefined,
    pauseTerm: undefined,
    resumeCheckAtMs: undefined,
    hasPausedReplicas: false,
    areFencesChecked,
    claimSentAtMs: -Infinity,
    lastOrder: undefined,
});

/**
 * Whether a VM orders only soon after a claim that the store has confirmed, and the others wait until it can order no longer:
 * where the platform does not refuse the order of a former holder, or where two promotions in a row could lose commits that
 * replicas had to receive.
 */
export const isOrderTimeLimited = ({ areFencesChecked, syncReplicas }: ReplacementState): boolean => !areFencesChecked || syncReplicas > 0;
