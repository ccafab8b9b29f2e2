import { PromotionOutcome } from "@pomeloturn/types/Protocols";
import { describe, expect, it } from "vitest";
import { createUnheldAuthority } from "./createUnheldAuthority.ts";
import {
    type LeaderView,
    ProbeOutcome,
    type ReplacementAction,
    type ReplacementEvent,
    type SurveyedInstance,
} from "./replacementMessages.ts";
import { createReplacement, ReplacementPhase, type ReplacementState } from "./ReplacementState.ts";
import { stepReplacement } from "./stepReplacement.ts";

const VIEW: LeaderView = {
    leaderId: "a",
    isLeaderDraining: false,
    instanceCount: 3,
    syncReplicas: 0,
    isListingComplete: false,
    vmIndex: 0,
};
const UNAVAILABLE = { kind: "claimed", change: undefined, isListingCurrent: false } as const;

/** Creates the state of a VM whose primary refused two probes. */
const createSuspecting = (): ReplacementState => {
    const state = createReplacement("vm-0", 0, true);
    stepReplacement(state, { kind: "suspected", instanceId: "a" }, 1_000);
    for (const atMs of [1_000, 1_200]) {
        stepReplacement(state, { kind: "tick", view: VIEW }, atMs);
        stepReplacement(state, { kind: "probed", instanceId: "a", outcome: ProbeOutcome.Refused }, atMs + 10);
    }
    return state;
};

const CLAIMED = { holder: "vm-0", fence: 1_000_005, era: 1, version: 9 };

/** Creates the state of a VM whose claim was applied. @param isListingCurrent whether the listing was read after the claim */
const createClaimed = (isListingCurrent = true): ReplacementState => {
    const state = createSuspecting();
    stepReplacement(state, { kind: "tick", view: VIEW }, 1_400);
    stepReplacement(state, { kind: "claimed", change: { isApplied: true, authority: CLAIMED }, isListingCurrent }, 1_410);
    return state;
};

/** Answer of a replica to a survey that no other instance has answered. */
const surveyed = (id: string): ReplacementEvent => {
    const state = { isPrimary: false, term: 1, received: { term: 1, position: 7 }, heldTerm: 0 };
    return { kind: "surveyed", instances: [{ id, isDraining: false, state, isPaused: false }] };
};

const kinds = (actions: readonly ReplacementAction[]): string[] => actions.map(({ kind }) => kind);

describe("a VM whose primary is down", () => {
    it("claims the authority", () => {
        expect(kinds(stepReplacement(createSuspecting(), { kind: "tick", view: VIEW }, 1_400))).toContain("claim");
    });

    it("finds a primary that another VM promoted while its own claim to the store fails", () => {
        const state = createSuspecting();
        stepReplacement(state, { kind: "tick", view: VIEW }, 1_400);
        stepReplacement(state, UNAVAILABLE, 2_000);
        expect(state.phase).toBe(ReplacementPhase.Watching);
        // Ends the survey that began before the claim.
        stepReplacement(state, { kind: "surveyed", instances: [] }, 2_010);
        expect(kinds(stepReplacement(state, { kind: "tick", view: VIEW }, 2_300))).toContain("survey");
        const instances = [{
            id: "b",
            isDraining: false,
            state: { isPrimary: true, term: 2, received: { term: 2, position: 7 }, heldTerm: 0 },
            isPaused: false,
        }];
        expect(stepReplacement(state, { kind: "surveyed", instances }, 2_310)).toEqual([{ kind: "confirm", instanceId: "b", term: 2 }]);
        expect(state.suspicion).toBeUndefined();
    });

    it("claims a new fence before it orders the promotion of another instance", () => {
        const state = createClaimed();
        const ordered = stepReplacement(state, surveyed("b"), 1_420);
        expect(ordered.at(-1)).toEqual({ kind: "order", instanceId: "b", fence: 1_000_005 });
        stepReplacement(state, { kind: "ordered", outcome: PromotionOutcome.Refused }, 1_430);
        const next = Array.from({ length: 20 }, (_, index) => stepReplacement(state, { kind: "tick", view: VIEW }, 1_450 + 40 * index))
            .flat();
        expect(next.find(({ kind }) => kind === "claim")).toEqual({ kind: "claim", known: CLAIMED, fence: 1_000_006 });
        expect(kinds(next)).not.toContain("order");
    });

    it("orders no promotion when the store lists a primary that this VM has not heard of", () => {
        const state = createClaimed(false);
        expect([state.phase, state.authority]).toEqual([ReplacementPhase.Watching, CLAIMED]);
        expect(kinds(stepReplacement(state, surveyed("b"), 1_420))).not.toContain("order");
    });

    it("orders no promotion with the fence of another VM that has claimed the authority meanwhile", () => {
        const state = createClaimed();
        stepReplacement(state, { kind: "authorityChanged", authority: { holder: "vm-1", fence: 1_000_006, era: 1, version: 10 } }, 1_415);
        expect(kinds(stepReplacement(state, surveyed("b"), 1_420))).not.toContain("order");
    });

    it("repeats no unanswered order after another VM has claimed the authority", () => {
        const state = createClaimed();
        expect(kinds(stepReplacement(state, surveyed("b"), 1_420))).toContain("order");
        stepReplacement(state, { kind: "ordered", outcome: PromotionOutcome.Unknown }, 1_770);
        stepReplacement(state, { kind: "authorityChanged", authority: { holder: "vm-1", fence: 1_000_006, era: 1, version: 10 } }, 1_780);
        expect(kinds(stepReplacement(state, { kind: "tick", view: VIEW }, 1_900))).not.toContain("order");
    });

    it("names no other instance with a fence whose order may still be carried out", () => {
        const state = createClaimed();
        const survey = (id: string, nowMs: number): string[] => kinds(stepReplacement(state, surveyed(id), nowMs));
        expect(survey("b", 1_420)).toContain("order");
        // The attempt is given up without an answer, and the store does not answer the next claim.
        for (let nowMs = 1_430; nowMs < 6_000 && state.phase === ReplacementPhase.Ordering; nowMs += 100) {
            stepReplacement(state, { kind: "ordered", outcome: PromotionOutcome.Unknown }, nowMs);
            stepReplacement(state, { kind: "tick", view: VIEW }, nowMs);
        }
        state.phase = ReplacementPhase.Claiming;
        stepReplacement(state, UNAVAILABLE, 6_100);
        expect(state.phase).toBe(ReplacementPhase.Surveying);
        expect(survey("c", 6_110)).not.toContain("order");
    });

    it("gives up when no replica has answered one survey", () => {
        const state = createClaimed();
        const silent = { id: "b", isDraining: false, state: undefined, isPaused: false };
        stepReplacement(state, { kind: "surveyed", instances: [silent] }, 1_420);
        expect(kinds(stepReplacement(state, { kind: "tick", view: VIEW }, 1_500))).toEqual(["survey"]);
        expect(stepReplacement(state, surveyed("b"), 1_510).at(-1)).toMatchObject({ kind: "order", instanceId: "b" });
    });

    it("promotes a draining replica while one that stays is only too busy to answer", () => {
        const [draining, staying] = ["b", "c"].map((id): SurveyedInstance => {
            const state = { isPrimary: false, term: 1, received: { term: 1, position: 7 }, heldTerm: 0 };
            return { id, isDraining: id === "b", state, isPaused: false };
        }) as [SurveyedInstance, SurveyedInstance];
        const failed = { id: "a", isDraining: false, state: undefined, isPaused: false };
        const survey = (state: ReplacementState, instances: readonly SurveyedInstance[], nowMs: number): ReplacementAction | undefined =>
            stepReplacement(state, { kind: "surveyed", instances: [failed, ...instances] }, nowMs).at(-1);
        const answeredLater = createClaimed();
        expect(survey(answeredLater, [draining, { ...staying, state: undefined }], 1_420)).toBeUndefined();
        expect(survey(answeredLater, [draining, staying], 1_500)).toMatchObject({ kind: "order", instanceId: "c" });
        const neverAnswered = createClaimed();
        expect(survey(neverAnswered, [draining, { ...staying, state: undefined }], 1_420)).toBeUndefined();
        expect(survey(neverAnswered, [draining, { ...staying, state: undefined }], 2_100)).toMatchObject({
            kind: "order",
            instanceId: "b",
        });
        // Only the failed primary is missing.
        expect(survey(createClaimed(), [draining], 1_420)).toMatchObject({ kind: "order", instanceId: "b" });
    });

    it("orders no promotion under an authority that the restored store has lost", () => {
        const state = createClaimed();
        stepReplacement(state, { kind: "authorityChanged", authority: createUnheldAuthority(2) }, 1_415);
        expect(kinds(stepReplacement(state, surveyed("b"), 1_420))).not.toContain("order");
    });

    it("waits after a restore of the store as after another VM's claim, which the store may have lost", () => {
        const state = createSuspecting();
        stepReplacement(state, { kind: "authorityChanged", authority: { holder: "vm-1", fence: 1_000_001, era: 1, version: 9 } }, 0);
        stepReplacement(state, { kind: "authorityChanged", authority: createUnheldAuthority(2) }, 1_300);
        const actionsUntil = (fromMs: number, toMs: number): ReplacementAction[] =>
            Array.from(
                { length: (toMs - fromMs) / 20 },
                (_, index) => stepReplacement(state, { kind: "tick", view: VIEW }, fromMs + 20 * index),
            ).flat();
        const isReplacing = ({ kind, ...details }: ReplacementAction): boolean =>
            kind === "log" && "text" in details && details.text.startsWith("replacing the primary");
        expect(actionsUntil(1_320, 2_990).some(isReplacing)).toBe(false);
        state.phase = ReplacementPhase.Watching;
        expect(actionsUntil(3_000, 3_200).some(isReplacing)).toBe(true);
    });
});

describe.each([{ isListingComplete: false }, { isListingComplete: true }])(
    "where a replica has to receive each commit, and the listing is complete: $isListingComplete",
    ({ isListingComplete }) => {
        const view: LeaderView = { ...VIEW, syncReplicas: 1, isListingComplete };

        it("claims the authority to replace a primary that is down although replicas may be missing", () => {
            const tick = (atMs: number): string[] => kinds(stepReplacement(state, { kind: "tick", view }, atMs));
            const state = createSuspecting();
            const actions = [...tick(1_400), ...tick(1_440)];
            expect(actions.filter(kind => kind === "claim" || kind === "log")).toEqual(isListingComplete ? ["log", "claim"] : ["log"]);
        });

        it("tells replicas to stop receiving after a failed transfer although replicas may be missing", () => {
            const state = createReplacement("vm-0", 0, true);
            const replica: SurveyedInstance = {
                id: "b",
                isDraining: false,
                state: { isPrimary: false, term: 1, received: { term: 1, position: 7 }, heldTerm: 0 },
                isPaused: false,
            };
            const leaving: SurveyedInstance = { ...replica, id: "a", isDraining: true, state: { ...replica.state!, isPrimary: true } };
            const survey = (primary: SurveyedInstance, atMs: number): ReplacementAction[] =>
                stepReplacement(state, { kind: "surveyed", instances: [primary, replica] }, atMs);
            stepReplacement(state, { kind: "tick", view: { ...view, isLeaderDraining: true } }, 1_000);
            stepReplacement(state, { kind: "claimed", change: { isApplied: true, authority: CLAIMED }, isListingCurrent: true }, 1_010);
            expect(kinds(survey(leaving, 1_020))).toEqual(["stepDown"]);
            stepReplacement(state, { kind: "steppedDown" }, 1_030);
            const silent = { ...leaving, state: undefined };
            survey(silent, 1_500);
            expect(survey(silent, 1_510)).toEqual(isListingComplete ? [{ kind: "survey", pauseTerm: 2 }] : []);
        });
    },
);
