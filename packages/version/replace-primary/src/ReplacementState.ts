import type { Authority } from "@pomeloturn/types/Protocols";
import { FIRST_CLAIM_DELAY_MS } from "./replacementTiming.ts";

/** Constants for `ReplacementState.phase`. */
export const Phase = {
    /** The primary is taken to be well, or its state is being found out. */
    Watching: "watching",
    /** The authority to promote is being taken in the store. */
    Claiming: "claiming",
    /** The instances are asked for their positions. */
    Surveying: "surveying",
    /** The leaving primary has been told to stop; its successor has yet to catch up. */
    HandingOver: "handingOver",
    /** The order is under way. */
    Ordering: "ordering",
    /** The order was accepted; the instance has yet to lead. */
    Confirming: "confirming",
} as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** Constants for why a primary is replaced. */
export const Reason = {
    /** It does not answer. */
    Down: "down",
    /** No instance leads. */
    Leaderless: "leaderless",
    /** It is going to be shut down. */
    Leaving: "leaving",
} as const;
export type Reason = typeof Reason[keyof typeof Reason];

/** Doubt whether the primary is alive. */
export interface Suspicion {
    readonly instanceId: string;
    readonly sinceMs: number;
    refusedCount: number;
    silentCount: number;
    isProbing: boolean;
    nextProbeAtMs: number;
}

/** The order that this VM is about to give, or gave last. */
export interface Order {
    readonly instanceId: string;
    readonly fence: number;
    readonly orderedAtMs: number;
    /** When the order is given again; undefined while an answer is awaited. */
    repeatAtMs: number | undefined;
}

/** One VM's part in replacing the primary of one service. Times are monotonic milliseconds. */
export interface ReplacementState {
    readonly vm: string;
    phase: Phase;
    phaseSinceMs: number;
    reason: Reason | undefined;
    suspicion: Suspicion | undefined;
    /** Since when no instance is known to lead. */
    leaderlessSinceMs: number | undefined;
    authority: Authority;
    /** When another VM was last seen to take the authority. */
    foreignClaimAtMs: number;
    /** Until when this VM starts no replacement. */
    pausedUntilMs: number;
    /** From when an authority that nobody has is taken. */
    readonly firstClaimAtMs: number;
    isSurveying: boolean;
    nextSurveyAtMs: number;
    order: Order | undefined;
    /** Whether the leaving primary has been told to take no more writes. */
    isSteppedDown: boolean;
}

/** @param nowMs monotonic time of the process's start */
export const createReplacement = (vm: string, nowMs: number): ReplacementState => ({
    vm,
    phase: Phase.Watching,
    phaseSinceMs: nowMs,
    reason: undefined,
    suspicion: undefined,
    leaderlessSinceMs: undefined,
    authority: { holder: "", fence: 0, version: 0 },
    foreignClaimAtMs: -Infinity,
    pausedUntilMs: 0,
    firstClaimAtMs: nowMs + FIRST_CLAIM_DELAY_MS,
    isSurveying: false,
    nextSurveyAtMs: 0,
    order: undefined,
    isSteppedDown: false,
});
