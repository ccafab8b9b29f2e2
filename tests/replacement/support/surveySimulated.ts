import type { SurveyedInstance } from "@pomeloturn/replace-primary/replacementMessages";
import type { SimulatedInstance } from "./SimulatedLog.ts";

/** Asks an instance for its state, and a replica first to stop receiving for `pauseTerm`, if there is one. */
export const surveySimulated = (
    instance: SimulatedInstance,
    { leaderId, term }: { readonly leaderId: string | undefined; readonly term: number; },
    vm: string,
    pauseTerm: number | undefined,
): SurveyedInstance => {
    const { id, condition, isDraining, receivedCommitCount, unreachableVms, stepDownTerm } = instance;
    if (condition !== "up" || unreachableVms.has(vm)) {
        return { id, isDraining, state: undefined, isPaused: false };
    }
    const isPrimary = id === leaderId && stepDownTerm <= term;
    const isPaused = pauseTerm !== undefined && !isPrimary && pauseTerm > term;
    if (isPaused) {
        instance.heldTerm = Math.max(instance.heldTerm, pauseTerm);
    }
    const received = { term, position: receivedCommitCount };
    return { id, isDraining, state: { isPrimary, term, received, heldTerm: instance.heldTerm }, isPaused };
};
